package org.crocuspost.cli;

import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;

import picocli.CommandLine;

/**
 * Main class of the operators' command line.
 */
public final class OperatorMain {

	private OperatorMain() {
	}

	/**
	 * Runs a command and exits with its exit code.
	 * @param arguments the command line arguments
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine(System.getenv(), PollDelay.realTime()).execute(arguments));
	}

	static CommandLine commandLine(Map<String, String> environment, PollDelay pollDelay) {
		CommandLine commandLine = new CommandLine(new OperatorCommand(environment, pollDelay));
		commandLine.setExecutionExceptionHandler((exception, failed, result) -> {
			PrintWriter errors = failed.getErr();
			errors.println("internal error: " + exception);
			errors.flush();
			return ExitCode.INTERNAL.code();
		});
		commandLine.getCommandSpec().usageMessage().exitCodeListHeading("%nExit codes:%n").exitCodeList(exitCodes());
		return commandLine;
	}

	private static Map<String, String> exitCodes() {
		Map<String, String> result = new LinkedHashMap<>();
		for (ExitCode code : ExitCode.values()) {
			result.put(String.valueOf(code.code()), code.meaning());
		}
		return result;
	}

}
