package org.crocuspost.dispatch;

import java.util.Objects;
import java.util.Optional;

import org.crocuspost.rows.StoredForm;

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

	private static final StoredForm<Departure> FORM = new StoredForm<>(Departure.class, Departure::writeLine,
			Departure::readLine, Departure::readLine);

	public Departure {
		Objects.requireNonNull(worker, "worker");
		Objects.requireNonNull(agentIncarnation, "agentIncarnation");
	}

	/**
	 * Encodes the departure.
	 * @return the value of its row
	 */
	public String write() {
		return FORM.write(this);
	}

	/**
	 * Decodes a departure.
	 * @param text the value of its row
	 * @return the departure, or empty if the value is malformed
	 */
	public static Optional<Departure> read(String text) {
		try {
			return Optional.of(FORM.read(text));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private String writeLine() {
		return this.worker + " " + this.born + " " + this.detectedMillis + " " + this.agentIncarnation;
	}

	private static Departure readLine(String text) {
		String[] parts = text.split(" ");
		if (parts.length != FIELD_COUNT) {
			throw new IllegalArgumentException("malformed departure: " + text);
		}
		return new Departure(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]), parts[3]);
	}

	boolean endsRunsOf(String otherWorker, long otherBorn) {
		return this.worker.equals(otherWorker) && this.born == otherBorn;
	}

}
