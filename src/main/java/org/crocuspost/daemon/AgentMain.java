package org.crocuspost.daemon;

import java.util.SplittableRandom;
import java.util.UUID;

import org.crocuspost.log.Field;
import org.crocuspost.settings.AgentSettings;
import org.crocuspost.settings.SettingsFaults;
import org.crocuspost.settings.SettingsFile;

/**
 * Main class of the agent.
 */
public final class AgentMain {

	private static final int NETWORK_THREADS = 1;

	private AgentMain() {
	}

	/**
	 * Starts the daemon and returns when it has stopped.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		new DaemonCommand<>((file) -> SettingsFile.agent(file).mapLeft(SettingsFaults::describe), AgentMain::start)
			.execute("crocuspost-agent", arguments);
	}

	private static Daemon start(AgentSettings settings) {
		ProcessContext context = new ProcessContext(settings.name(), NETWORK_THREADS);
		PlatformClient platform = new PlatformClient(settings.platform());
		SplittableRandom random = new SplittableRandom();
		String incarnation = UUID.randomUUID().toString();
		AgentProcess process = new AgentProcess(settings, platform.runtime(settings.worker()), incarnation,
				platform.stores(context.clock(), random).table(), random.split(), context);
		DaemonCommand.logReady(Field.of("name", settings.name()),
				DaemonCommand.addressField("monitoring", process.monitoringAddress()));
		return () -> {
			process.stop();
			platform.close();
			context.close();
		};
	}

}
