package org.crocuspost.rows;

import org.crocuspost.log.LogEvent;

/**
 * Events of watched tables.
 */
public enum RowEvent implements LogEvent {

	/**
	 * The store no longer answers reads of a watched table.
	 */
	ROW_WATCH_LOST,

	/**
	 * The store answers reads of a watched table again.
	 */
	ROW_WATCH_REGAINED,

	/**
	 * The store has discarded the changes that were not read yet; the table is read anew.
	 */
	ROW_HISTORY_LOST

}
