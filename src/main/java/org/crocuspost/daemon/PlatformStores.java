package org.crocuspost.daemon;

import java.util.Objects;

import org.crocuspost.platform.objects.ObjectStore;
import org.crocuspost.platform.table.TableService;

/**
 * Holds the clients of one process for the platform's stores.
 *
 * @param table the table service
 * @param objects the object store
 */
public record PlatformStores(TableService table, ObjectStore objects) {

	public PlatformStores {
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
	}

}
