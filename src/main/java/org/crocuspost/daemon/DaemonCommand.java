package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

import io.vavr.control.Either;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/**
 * Command line shared by all daemons: reads the settings, starts the daemon and stops it
 * gracefully when the process is asked to end.
 *
 * @param <S> the type of the settings
 */
@CommandLine.Command(mixinStandardHelpOptions = true, versionProvider = BuildVersion.class, sortOptions = false,
		exitCodeOnInvalidInput = DaemonCommand.EXIT_INVALID_INPUT)
public class DaemonCommand<S> implements Callable<Integer> {

	/**
	 * Exit code for wrong flags and wrong settings.
	 */
	public static final int EXIT_INVALID_INPUT = 2;

	private final SettingsLoader<S> loader;

	private final Function<S, Daemon> starter;

	@Option(names = "--settings", paramLabel = "FILE", required = true, description = "Settings in JSON with comments.")
	private @Nullable Path settingsFile;

	@Option(names = "--check-settings", description = "Check the settings, start nothing and exit 0 or 2.")
	private boolean checkSettings;

	/**
	 * Creates the command.
	 * @param loader reads and checks the settings
	 * @param starter starts the daemon
	 */
	public DaemonCommand(SettingsLoader<S> loader, Function<S, Daemon> starter) {
		this.loader = loader;
		this.starter = starter;
	}

	/**
	 * Parses the command line, runs the command and ends the process.
	 * @param name the name of the binary
	 * @param arguments the command line
	 */
	public void execute(String name, String[] arguments) {
		CommandLine commandLine = new CommandLine(this);
		commandLine.setCommandName(name);
		System.exit(commandLine.execute(arguments));
	}

	@Override
	public Integer call() {
		Path file = java.util.Objects.requireNonNull(this.settingsFile);
		Either<String, S> settings = this.loader.load(file);
		if (settings.isLeft()) {
			System.err.println(settings.getLeft());
			return EXIT_INVALID_INPUT;
		}
		if (this.checkSettings) {
			System.out.println(file + ": no faults");
			return CommandLine.ExitCode.OK;
		}
		runUntilTerminated(this.starter.apply(settings.get()));
		return CommandLine.ExitCode.OK;
	}

	/**
	 * Waits until the process is asked to end, then stops the daemon before the process
	 * ends.
	 * @param daemon the started daemon
	 */
	public static void runUntilTerminated(Daemon daemon) {
		CountDownLatch terminated = new CountDownLatch(1);
		Thread hook = new Thread(() -> {
			EventLog.info(DaemonEvent.STOPPING);
			daemon.stop();
			EventLog.info(DaemonEvent.STOPPED);
			EventLog.flush();
			terminated.countDown();
		}, "graceful-stop");
		Runtime.getRuntime().addShutdownHook(hook);
		try {
			terminated.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Makes a field of an address.
	 * @param name the name of the field
	 * @param address the address
	 * @return the field with IP number and port
	 */
	public static Field addressField(String name, InetSocketAddress address) {
		return Field.of(name, address.getAddress().getHostAddress() + ":" + address.getPort());
	}

	/**
	 * Logs that a daemon is ready for work.
	 * @param fields its name and addresses
	 */
	public static void logReady(Field... fields) {
		EventLog.info(DaemonEvent.READY, fields);
	}

}
