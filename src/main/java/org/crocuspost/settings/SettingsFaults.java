package org.crocuspost.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.json.JsonFault;

/**
 * Holds all faults of a settings file.
 *
 * @param file the file
 * @param faults the faults in order of line and column
 */
public record SettingsFaults(Path file, List<JsonFault> faults) {

	public SettingsFaults {
		faults = List.copyOf(faults);
	}

	/**
	 * Returns the faults as text, one on each line.
	 * @return the number of faults, then one line for each with the file, line, column,
	 * path, the value found and the allowed values
	 */
	public String describe() {
		String heading = ErrorCode.SETTINGS_INVALID.with(this.faults.size()).message();
		return heading + "\n" + this.faults.stream().map(this::describe).collect(Collectors.joining("\n"));
	}

	private String describe(JsonFault fault) {
		return this.file + ":" + fault.line() + ":" + fault.column() + ": " + fault.path() + ": found " + fault.found()
				+ ", allowed is " + fault.allowed();
	}

}
