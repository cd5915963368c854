package org.crocuspost.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * Records the end of a worker that had announced that it leaves. The agent of the host
 * stores it for leaders that it cannot notify directly.
 *
 * @param worker the identity of the worker
 * @param born the start of its incarnation, Unix time in milliseconds
 * @param detectedMillis when the agent detected the end, Unix time in milliseconds
 * @param agentIncarnation the incarnation of the agent
 */
public record Departure(String worker, long born, long detectedMillis, String agentIncarnation) {

	private static final int FIELD_COUNT = 4;

	public Departure {
		Objects.requireNonNull(worker, "worker");
		Objects.requireNonNull(agentIncarnation, "agentIncarnation");
	}

	/**
	 * Returns the stored form: the fields on one line, separated by blanks.
	 * @return one line
	 */
	public String write() {
		return this.worker + " " + this.born + " " + this.detectedMillis + " " + this.agentIncarnation;
	}

	/**
	 * Parses the stored form.
	 * @param text the stored form
	 * @return the departure, or empty if the text is malformed
	 */
	public static Optional<Departure> read(String text) {
		String[] parts = text.split(" ");
		if (parts.length != FIELD_COUNT) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Departure(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]), parts[3]));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	boolean endsRunsOf(String otherWorker, long otherBorn) {
		return this.worker.equals(otherWorker) && this.born == otherBorn;
	}

}
