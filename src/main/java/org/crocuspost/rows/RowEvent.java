package org.crocuspost.rows;

import org.crocuspost.log.LogEvent;

/**
 * Log events of watched tables.
 */
public enum RowEvent implements LogEvent {

	/**
	 * Reads of a watched table have started to fail.
	 */
	ROW_WATCH_LOST,

	/**
	 * Reads of a watched table succeed again.
	 */
	ROW_WATCH_REGAINED,

	/**
	 * The store has discarded changes that were not read yet; the whole table is read
	 * again.
	 */
	ROW_HISTORY_LOST,

	/**
	 * Rows of a watched table caused an unexpected error; the whole table is read again.
	 */
	ROWS_NOT_APPLIED,

	/**
	 * A row caused an unexpected error and is ignored; the other rows are applied.
	 */
	ROW_NOT_APPLIED,

	/**
	 * A row that another writer left cannot be decoded. Its value is not used; the other
	 * rows are.
	 */
	ROW_UNREADABLE

}
