package org.crocuspost.release;

import java.util.List;

/**
 * Describes a fault of a note that is found only when the note is applied to a
 * configuration.
 *
 * @param path the names of the sections and of the item, for example {@code added},
 * {@code services}, {@code shop}
 * @param found the value found
 * @param allowed the allowed values
 */
public record NoteFault(List<String> path, String found, String allowed) {

	public NoteFault {
		path = List.copyOf(path);
	}

}
