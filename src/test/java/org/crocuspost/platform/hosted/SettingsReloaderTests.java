package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;
import sun.misc.SignalHandler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the signal for changed settings reloads them and does not terminate the
 * process.
 */
class SettingsReloaderTests {

	private static final String SETTINGS = """
			node_name=one
			ip=127.0.0.1
			zone=zone
			port_range=7000,7010
			heartbeat_ms=1000
			platform.address=127.0.0.1:7100
			platform.row_bytes=65536
			bounds.max_hold_ms=6000
			bounds.stop_timeout_ms=200
			bounds.grace_s=6
			bounds.remote_penalty=1.5
			bounds.interference_ms=4000
			bounds.cancel_ms=3000
			bounds.status_s=120
			""";

	@Test
	void invalidSettingsLeaveThePreviousOnesInForce(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("settings.conf");
		Files.writeString(file, SETTINGS);
		SettingsReloader reloader = new SettingsReloader(file, HostSettings.of(PropertyFile.read(file)));
		Files.writeString(file, "node_name=two");
		reloader.reload();
		assertThat(reloader.current().name()).isEqualTo("one");
		Files.writeString(file, SETTINGS.replace("node_name=one", "node_name=two"));
		reloader.reload();
		assertThat(reloader.current().name()).isEqualTo("two");
	}

	@Test
	@Timeout(10)
	void theSignalReloadsTheSettings(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("settings.conf");
		Files.writeString(file, SETTINGS);
		SettingsReloader reloader = new SettingsReloader(file, HostSettings.of(PropertyFile.read(file)));
		SignalHandler previousHandler = Signal.handle(new Signal("HUP"), (signal) -> {
		});
		reloader.registerSignalHandler();
		Files.writeString(file, SETTINGS.replace("node_name=one", "node_name=two"));
		Signal.raise(new Signal("HUP"));
		// The JVM keeps ignoring the signal if it was ignored when the process started,
		// as under nohup.
		boolean ignored = previousHandler == SignalHandler.SIG_IGN;
		while (!ignored && !reloader.current().name().equals("two") && !Thread.interrupted()) {
			Thread.onSpinWait();
		}
		assertThat(reloader.current().name()).isEqualTo(ignored ? "one" : "two");
	}

}
