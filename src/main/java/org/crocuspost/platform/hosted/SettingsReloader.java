package org.crocuspost.platform.hosted;

import java.nio.file.Path;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import sun.misc.Signal;

/**
 * Reloads the settings when the platform signals that they have changed. Without a
 * handler, the signal would terminate the process.
 */
final class SettingsReloader {

	private final Path file;

	private HostSettings current;

	SettingsReloader(Path file, HostSettings current) {
		this.file = file;
		this.current = current;
	}

	void registerSignalHandler() {
		Signal.handle(new Signal("HUP"), (signal) -> reload());
	}

	/**
	 * Reloads the settings. Addresses are bound only once, and all other values take
	 * effect at the next start of the process.
	 */
	synchronized void reload() {
		try {
			HostSettings next = HostSettings.of(PropertyFile.read(this.file));
			EventLog.info(HostedEvent.SETTINGS_RELOADED, Field.of("changed", !next.equals(this.current)));
			this.current = next;
		}
		catch (SettingsException ex) {
			EventLog.warn(HostedEvent.SETTINGS_IGNORED, Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	synchronized HostSettings current() {
		return this.current;
	}

}
