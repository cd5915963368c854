package org.crocuspost.release;

import java.util.List;

/**
 * Fault of a note that shows only against a configuration.
 *
 * @param path names of the sections and of the item, for example {@code added},
 * {@code services}, {@code shop}
 * @param found what was found
 * @param allowed what is allowed
 */
public record NoteFault(List<String> path, String found, String allowed) {

	public NoteFault {
		path = List.copyOf(path);
	}

}
