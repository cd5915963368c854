package org.crocuspost.daemon;

import java.util.SplittableRandom;
import java.util.UUID;

import org.crocuspost.log.Field;
import org.crocuspost.settings.SchedulerSettings;
import org.crocuspost.settings.SettingsFaults;
import org.crocuspost.settings.SettingsFile;

/**
 * Main class of the scheduler.
 */
public final class SchedulerMain {

	private static final int NETWORK_THREADS = 2;

	private SchedulerMain() {
	}

	/**
	 * Starts the daemon and returns when it has stopped.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		new DaemonCommand<>((file) -> SettingsFile.scheduler(file).mapLeft(SettingsFaults::describe),
				SchedulerMain::start)
			.execute("crocuspost-scheduler", arguments);
	}

	private static Daemon start(SchedulerSettings settings) {
		ProcessContext context = new ProcessContext(settings.name(), NETWORK_THREADS);
		PlatformClient platform = new PlatformClient(settings.platform());
		SplittableRandom random = new SplittableRandom();
		String incarnation = UUID.randomUUID().toString();
		SchedulerProcess process = new SchedulerProcess(settings, platform.stores(context.clock(), random), incarnation,
				random.split(), context);
		DaemonCommand.logReady(Field.of("name", settings.name()), DaemonCommand.addressField("peers", process.peerAddress()),
				DaemonCommand.addressField("monitoring", process.monitoringAddress()));
		return () -> {
			process.stop();
			platform.close();
			context.close();
		};
	}

}
