package org.crocuspost.release;

import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;

/**
 * Content of the head row, the row of the table that identifies the newest configuration.
 *
 * @param version the version of the newest configuration
 * @param noteId the identifier of the note that led to it; empty at version 0
 * @param digest the digest of its snapshot; empty at version 0
 */
public record ConfigurationHead(long version, String noteId, String digest) {

	/**
	 * The head before the first release note.
	 */
	public static final ConfigurationHead NONE = new ConfigurationHead(0, "", "");

	/**
	 * Decodes the head row.
	 * @param row the row; if it is absent, the result is {@link #NONE}
	 * @return the head
	 */
	public static ConfigurationHead of(Row row) {
		return row.exists() ? Json.read(row.value(), ConfigurationHead.class) : NONE;
	}

}
