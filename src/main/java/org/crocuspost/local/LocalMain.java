package org.crocuspost.local;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.crocuspost.daemon.BuildVersion;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.log.Field;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.SettingsFaults;
import org.crocuspost.settings.SettingsFile;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a whole deployment in one process, on stand-ins for the platform.
 */
@Command(name = "crocuspost-local", mixinStandardHelpOptions = true, versionProvider = BuildVersion.class,
		description = "Runs a whole deployment in one process, on stand-ins for the platform.",
		exitCodeOnInvalidInput = DaemonCommand.EXIT_INVALID_INPUT)
public final class LocalMain implements Callable<Integer> {

	private static final String SETTINGS_NAME = "deployment.json";

	@Parameters(paramLabel = "DIRECTORY", description = "Directory with deployment.json and the first release note.")
	private @Nullable Path directory;

	@Option(names = "--check-settings", description = "Check the settings, start nothing and exit 0 or 2.")
	private boolean checkSettings;

	/**
	 * Runs the command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new LocalMain()).execute(arguments));
	}

	@Override
	public Integer call() {
		Path file = java.util.Objects.requireNonNull(this.directory).resolve(SETTINGS_NAME);
		Either<SettingsFaults, DeploymentSettings> settings = SettingsFile.deployment(file);
		if (settings.isLeft()) {
			System.err.println(settings.getLeft().describe());
			return DaemonCommand.EXIT_INVALID_INPUT;
		}
		if (this.checkSettings) {
			System.out.println(file + ": no faults");
			return CommandLine.ExitCode.OK;
		}
		LocalDeployment deployment = new LocalDeployment(settings.get());
		DaemonCommand.logReady(Field.of("callers", deployment.entries().get(0).callerAddress()));
		DaemonCommand.runUntilTerminated(deployment);
		return CommandLine.ExitCode.OK;
	}

}
