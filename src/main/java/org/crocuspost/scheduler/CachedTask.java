package org.crocuspost.scheduler;

import org.crocuspost.platform.table.Row;
import org.crocuspost.task.TaskRecord;

/**
 * Holds the row of a task as last read or written.
 *
 * @param record the row's content
 * @param version the row's version; {@link Row#ABSENT} for a task without a row
 */
record CachedTask(TaskRecord record, long version) {
}
