package org.crocuspost.release;

import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;

/**
 * Content of the row that names the newest configuration.
 *
 * @param version the version of the configuration
 * @param noteId the note that led to it; empty at version 0
 * @param digest the digest of its snapshot; empty at version 0
 */
public record ConfigurationHead(long version, String noteId, String digest) {

	/**
	 * The head before the first release note.
	 */
	public static final ConfigurationHead NONE = new ConfigurationHead(0, "", "");

	/**
	 * Reads the head.
	 * @param row the row, which may be absent
	 * @return the head
	 */
	public static ConfigurationHead of(Row row) {
		return row.exists() ? Json.read(row.value(), ConfigurationHead.class) : NONE;
	}

}
