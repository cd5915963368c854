package org.crocuspost.scheduler;

import org.crocuspost.task.TaskRecord;
import org.crocuspost.wire.TaskCommand;
import org.jspecify.annotations.Nullable;

/**
 * Describes a change of the row of a task and the command to send once the change is
 * durable.
 *
 * @param before the row before the change
 * @param after the row after the change
 * @param deletion whether the row is deleted instead of changed
 * @param command the kind of command to send; unspecified for none
 * @param startWorker the state of the worker on which a start is based; null for other
 * commands
 */
record TaskChange(CachedTask before, TaskRecord after, boolean deletion, TaskCommand.Kind command,
		@Nullable WorkerState startWorker) {

	static TaskChange of(CachedTask before, TaskRecord after) {
		return new TaskChange(before, after, false, TaskCommand.Kind.KIND_UNSPECIFIED, null);
	}

	static TaskChange delete(CachedTask before) {
		return new TaskChange(before, before.record(), true, TaskCommand.Kind.KIND_UNSPECIFIED, null);
	}

	TaskChange withCommand(TaskCommand.Kind kind) {
		return new TaskChange(this.before, this.after, this.deletion, kind, null);
	}

	TaskChange withStart(WorkerState worker) {
		return new TaskChange(this.before, this.after, this.deletion, TaskCommand.Kind.KIND_START, worker);
	}

	String taskId() {
		return this.after.taskId();
	}

}
