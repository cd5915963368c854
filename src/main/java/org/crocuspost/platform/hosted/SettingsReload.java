package org.crocuspost.platform.hosted;

import java.nio.file.Path;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import sun.misc.Signal;

/**
 * Reads the settings again when the platform says that they have changed. Without a
 * handler, the signal would end the process.
 */
final class SettingsReload {

	private final Path file;

	private HostSettings known;

	SettingsReload(Path file, HostSettings known) {
		this.file = file;
		this.known = known;
	}

	void listen() {
		Signal.handle(new Signal("HUP"), (signal) -> reload());
	}

	/**
	 * Reads the settings. Addresses are bound once; other values take effect at the next
	 * start of the process.
	 */
	synchronized void reload() {
		try {
			HostSettings next = HostSettings.of(PropertyFile.read(this.file));
			EventLog.info(HostedEvent.SETTINGS_RELOADED, Field.of("changed", !next.equals(this.known)));
			this.known = next;
		}
		catch (SettingsException ex) {
			EventLog.warn(HostedEvent.SETTINGS_IGNORED, Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	synchronized HostSettings known() {
		return this.known;
	}

}
