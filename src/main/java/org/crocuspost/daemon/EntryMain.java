package org.crocuspost.daemon;

import java.util.SplittableRandom;
import java.util.UUID;

import org.crocuspost.log.Field;
import org.crocuspost.settings.EntrySettings;
import org.crocuspost.settings.SettingsFaults;
import org.crocuspost.settings.SettingsFile;

/**
 * Main class of the entry.
 */
public final class EntryMain {

	private static final int NETWORK_THREADS = 4;

	private EntryMain() {
	}

	/**
	 * Starts the daemon and returns when it has stopped.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		new DaemonCommand<>((file) -> SettingsFile.entry(file).mapLeft(SettingsFaults::describe), EntryMain::start)
			.execute("crocuspost-entry", arguments);
	}

	private static Daemon start(EntrySettings settings) {
		ProcessContext context = new ProcessContext(settings.name(), NETWORK_THREADS);
		PlatformClient platform = new PlatformClient(settings.platform());
		SplittableRandom random = new SplittableRandom();
		String incarnation = UUID.randomUUID().toString();
		EntryProcess process = new EntryProcess(settings, platform.stores(context.clock(), random), incarnation,
				random.split(), context);
		DaemonCommand.logReady(Field.of("name", settings.name()),
				DaemonCommand.addressField("callers", process.callerAddress()),
				DaemonCommand.addressField("operators", process.operatorAddress()),
				DaemonCommand.addressField("peers", process.peerAddress()),
				DaemonCommand.addressField("monitoring", process.monitoringAddress()));
		return () -> {
			process.stop();
			platform.close();
			context.close();
		};
	}

}
