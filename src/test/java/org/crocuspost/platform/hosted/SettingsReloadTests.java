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
 * A signal that the settings have changed reloads them and does not end the process.
 */
class SettingsReloadTests {

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
	void brokenSettingsLeaveTheFormerOnesInForce(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("settings.conf");
		Files.writeString(file, SETTINGS);
		SettingsReload reload = new SettingsReload(file, HostSettings.of(PropertyFile.read(file)));
		Files.writeString(file, "node_name=two");
		reload.reload();
		assertThat(reload.known().name()).isEqualTo("one");
		Files.writeString(file, SETTINGS.replace("node_name=one", "node_name=two"));
		reload.reload();
		assertThat(reload.known().name()).isEqualTo("two");
	}

	@Test
	@Timeout(10)
	void theSignalReloadsTheSettings(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("settings.conf");
		Files.writeString(file, SETTINGS);
		SettingsReload reload = new SettingsReload(file, HostSettings.of(PropertyFile.read(file)));
		SignalHandler former = Signal.handle(new Signal("HUP"), (signal) -> {
		});
		reload.listen();
		Files.writeString(file, SETTINGS.replace("node_name=one", "node_name=two"));
		Signal.raise(new Signal("HUP"));
		// The runtime leaves the signal ignored if it was so at its start, as under
		// nohup.
		boolean ignored = former == SignalHandler.SIG_IGN;
		while (!ignored && !reload.known().name().equals("two") && !Thread.interrupted()) {
			Thread.onSpinWait();
		}
		assertThat(reload.known().name()).isEqualTo(ignored ? "one" : "two");
	}

}
