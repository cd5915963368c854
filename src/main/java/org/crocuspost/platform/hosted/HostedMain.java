package org.crocuspost.platform.hosted;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.crocuspost.daemon.Daemon;
import org.crocuspost.daemon.DaemonCommand;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.net.Sockets;
import org.crocuspost.time.Clock;
import org.crocuspost.time.SystemClock;

/**
 * Main class of the processes on the hosting platform.
 */
public final class HostedMain {

	private static final String SETTINGS_VARIABLE = "CROCUSPOST_SETTINGS";

	/**
	 * Duration of a training run, in which the JVM records the loaded classes for a
	 * class-data sharing archive. By its end, all classes that the start needs are
	 * loaded.
	 */
	private static final Duration TRAINING_RUN_DURATION = Duration.ofSeconds(2);

	private HostedMain() {
	}

	/**
	 * Starts the entry or the agent and returns when it has stopped.
	 * @param arguments {@code entry} or {@code agent}
	 */
	public static void main(String[] arguments) {
		Optional<Role> role = (arguments.length == 1) ? Role.named(arguments[0]) : Optional.empty();
		if (role.isEmpty()) {
			System.err.println("usage: entry | agent, with the path of the settings file in the environment variable "
					+ SETTINGS_VARIABLE);
			System.exit(DaemonCommand.EXIT_INVALID_INPUT);
		}
		try {
			String path = System.getenv(SETTINGS_VARIABLE);
			if (path == null) {
				throw new SettingsException(
						java.util.List.of("the environment variable " + SETTINGS_VARIABLE + " is not set"));
			}
			HostSettings settings = HostSettings.of(PropertyFile.read(Path.of(path)));
			new SettingsReloader(Path.of(path), settings).registerSignalHandler();
			run(role.get(), settings);
		}
		catch (SettingsException ex) {
			System.err.println(ex.getMessage());
			System.exit(DaemonCommand.EXIT_INVALID_INPUT);
		}
	}

	private static void run(Role role, HostSettings settings) {
		Clock clock = new SystemClock();
		EventLoop loop = Sockets.eventLoop("crocuspost").next();
		EventLog.info(HostedEvent.PROGRAM_STARTING, Field.of("role", role.name), Field.of("host", settings.name()),
				Field.of("failureDomain", settings.failureDomain()));
		Daemon daemon = start(role, settings, loop, clock);
		if (role.trainingRun) {
			ScheduledExecutorService exitScheduler = Executors.newSingleThreadScheduledExecutor();
			exitScheduler.schedule(() -> System.exit(0), TRAINING_RUN_DURATION.toMillis(), TimeUnit.MILLISECONDS);
		}
		DaemonCommand.runUntilTerminated(daemon);
	}

	private static Daemon start(Role role, HostSettings settings, EventLoop loop, Clock clock) {
		if (role.entry) {
			EntryProgram entry = new EntryProgram(settings, loop, clock);
			entry.start();
			return entry::stop;
		}
		new AgentProgram(settings, loop, clock).start();
		return () -> {
			// Tasks keep running under their leases until the next incarnation of the
			// agent.
		};
	}

	/**
	 * Role of the process.
	 */
	private enum Role {

		/**
		 * Accepts jobs from callers.
		 */
		ENTRY("entry", true, false),

		/**
		 * Controls the runs on the worker of its host.
		 */
		AGENT("agent", false, false),

		/**
		 * Starts an entry and exits soon after, so that the build can archive its
		 * classes.
		 */
		REHEARSE_ENTRY("rehearse-entry", true, true),

		/**
		 * Starts an agent and exits soon after, so that the build can archive its
		 * classes.
		 */
		REHEARSE_AGENT("rehearse-agent", false, true);

		private final String name;

		private final boolean entry;

		private final boolean trainingRun;

		Role(String name, boolean entry, boolean trainingRun) {
			this.name = name;
			this.entry = entry;
			this.trainingRun = trainingRun;
		}

		private static Optional<Role> named(String name) {
			return Arrays.stream(values()).filter((role) -> role.name.equals(name)).findFirst();
		}

	}

}
