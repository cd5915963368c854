package org.crocuspost.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.crocuspost.daemon.BuildVersion;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.daemon.EntryProcess;
import org.crocuspost.release.NoteOutcome;
import org.crocuspost.settings.DeploymentSettings;
import org.crocuspost.settings.SettingsFaults;
import org.crocuspost.settings.SettingsFile;
import org.crocuspost.tour.Tour;
import org.crocuspost.tour.TourReport;
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

	@Option(names = "--tour", description = "Take a tour of a minute that judges every promise, then exit 0 or 1.")
	private boolean tour;

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
		Path note = file.resolveSibling(settings.get().note());
		try {
			return run(settings.get(), Files.readString(note));
		}
		catch (IOException ex) {
			System.err.println(note + " cannot be read");
			return DaemonCommand.EXIT_INVALID_INPUT;
		}
	}

	private int run(DeploymentSettings settings, String firstNote) {
		LocalDeployment deployment = new LocalDeployment(settings);
		return this.tour ? takeTour(deployment, firstNote) : serve(deployment, firstNote);
	}

	private static int serve(LocalDeployment deployment, String firstNote) {
		EntryProcess entry = deployment.entries().get(0);
		NoteOutcome outcome = entry.submit(firstNote);
		if (!(outcome instanceof NoteOutcome.Accepted)) {
			System.err.println("the first release note was not accepted: " + outcome);
			deployment.stop();
			return DaemonCommand.EXIT_INVALID_INPUT;
		}
		logReady(entry);
		DaemonCommand.runUntilTerminated(deployment);
		return CommandLine.ExitCode.OK;
	}

	private static int takeTour(LocalDeployment deployment, String firstNote) {
		logReady(deployment.entries().get(0));
		TourReport report = new Tour(deployment, firstNote).take();
		deployment.stop();
		System.out.print(report.text());
		return report.passed() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
	}

	private static void logReady(EntryProcess entry) {
		DaemonCommand.logReady(DaemonCommand.addressField("callers", entry.callerAddress()),
				DaemonCommand.addressField("operators", entry.operatorAddress()));
	}

}
