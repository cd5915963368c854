package org.crocuspost.settings;

import java.util.Objects;

import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;

/**
 * Holds the addresses of the platform's stores and the limits of calls to them.
 *
 * @param table the address of the table service
 * @param objects the address of the object store
 * @param limits the limits of calls to both
 */
public record PlatformSettings(PlatformUrl table, PlatformUrl objects, HttpLimits limits) {

	public PlatformSettings {
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
		Objects.requireNonNull(limits, "limits");
	}

}
