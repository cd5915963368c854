package org.crocuspost.membership;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.platform.table.Row;

/**
 * Logs each version of a malformed row once, however often the table is read.
 */
final class MalformedRows {

	private final Map<String, Long> loggedVersions = new HashMap<>();

	void log(Row row, String reason) {
		Long logged = this.loggedVersions.put(row.key(), row.version());
		if (logged == null || logged != row.version()) {
			EventLog.warn(MembershipEvent.MEMBER_ROW_IGNORED, Field.of("key", row.key()),
					Field.of("version", row.version()), Field.of("reason", reason));
		}
	}

}
