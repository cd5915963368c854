package org.crocuspost.settings;

import java.util.Objects;

import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;

/**
 * How a process reaches the platform's stores.
 *
 * @param table address of the table service
 * @param objects address of the object store
 * @param limits limits of the calls to both
 */
public record PlatformSettings(PlatformUrl table, PlatformUrl objects, HttpLimits limits) {

	public PlatformSettings {
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
		Objects.requireNonNull(limits, "limits");
	}

}
