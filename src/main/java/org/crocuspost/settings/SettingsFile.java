package org.crocuspost.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.crocuspost.json.JsonFault;
import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedDocument;
import org.crocuspost.json.ValueReader;

/**
 * Reads settings files. A file with faults yields no settings, only the list of its
 * faults.
 */
public final class SettingsFile {

	private static final long MAXIMUM_BYTES = 4L * 1024 * 1024;

	private SettingsFile() {
	}

	/**
	 * Reads the settings of an entry.
	 * @param file the file
	 * @return the settings, or all faults of the file
	 */
	public static Either<SettingsFaults, EntrySettings> entry(Path file) {
		return read(file, ProcessReaders::entry);
	}

	/**
	 * Reads the settings of a scheduler.
	 * @param file the file
	 * @return the settings, or all faults of the file
	 */
	public static Either<SettingsFaults, SchedulerSettings> scheduler(Path file) {
		return read(file, ProcessReaders::scheduler);
	}

	/**
	 * Reads the settings of an agent.
	 * @param file the file
	 * @return the settings, or all faults of the file
	 */
	public static Either<SettingsFaults, AgentSettings> agent(Path file) {
		return read(file, AgentReaders::agent);
	}

	/**
	 * Reads the settings of the operators' command line.
	 * @param file the file
	 * @return the settings, or all faults of the file
	 */
	public static Either<SettingsFaults, OperatorSettings> operator(Path file) {
		return read(file, ProcessReaders::operator);
	}

	/**
	 * Reads the settings of a deployment that runs in one process.
	 * @param file the file
	 * @return the settings, or all faults of the file
	 */
	public static Either<SettingsFaults, DeploymentSettings> deployment(Path file) {
		return read(file, DeploymentReaders::deployment);
	}

	private static <S> Either<SettingsFaults, S> read(Path file, ValueReader<S> reader) {
		Either<JsonFault, String> text = readText(file);
		if (text.isLeft()) {
			return Either.left(new SettingsFaults(file, List.of(text.getLeft())));
		}
		JsonFaults faults = new JsonFaults();
		Optional<S> settings = LocatedDocument.read(text.get(), faults).flatMap((root) -> reader.read(root, faults));
		if (faults.isEmpty() && settings.isPresent()) {
			return Either.right(settings.get());
		}
		return Either.left(new SettingsFaults(file, faults.list()));
	}

	private static Either<JsonFault, String> readText(Path file) {
		try {
			if (Files.size(file) > MAXIMUM_BYTES) {
				return Either.left(unreadable(Files.size(file) + " bytes", "at most " + MAXIMUM_BYTES + " bytes"));
			}
			return Either.right(Files.readString(file, StandardCharsets.UTF_8));
		}
		catch (NoSuchFileException ex) {
			return Either.left(unreadable("no such file", "a readable file"));
		}
		catch (IOException ex) {
			return Either.left(unreadable(String.valueOf(ex.getMessage()), "a readable file in UTF-8"));
		}
	}

	private static JsonFault unreadable(String found, String allowed) {
		return new JsonFault(1, 1, "$", found, allowed);
	}

}
