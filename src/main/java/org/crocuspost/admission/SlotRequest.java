package org.crocuspost.admission;

import java.util.Objects;
import java.util.function.Consumer;

import org.crocuspost.error.Failure;

/**
 * Represents a request for a slot of the endpoint. Exactly one of the actions is called,
 * once.
 *
 * @param priority the priority; requests with a lower number are started first
 * @param deadlineNanos the deadline in nanoseconds on the monotonic clock
 * @param start called when the request is assigned a slot
 * @param refuse called if the request is refused or its deadline passes before it gets a
 * slot
 */
record SlotRequest(int priority, long deadlineNanos, Consumer<Slot> start, Consumer<Failure> refuse) {

	SlotRequest {
		Objects.requireNonNull(start, "start");
		Objects.requireNonNull(refuse, "refuse");
	}

}
