package org.crocuspost.cli;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/**
	 * The command succeeded.
	 */
	OK(0, "success"),

	/**
	 * An internal error of crocuspost.
	 */
	INTERNAL(1, "internal error of crocuspost"),

	/**
	 * The arguments are invalid, or a file cannot be read or written.
	 */
	USAGE(2, "invalid arguments, or a file that cannot be read or written"),

	/**
	 * The release note is invalid.
	 */
	INVALID(3, "the release note is invalid"),

	/**
	 * The release note was written for another version of the configuration.
	 */
	OUTDATED(4, "the release note was written for another version; the output lists what changed"),

	/**
	 * The call was refused for another reason and had no effect.
	 */
	REFUSED(5, "refused for another reason; the call had no effect"),

	/**
	 * The requested object does not exist.
	 */
	NOT_FOUND(6, "the requested object does not exist"),

	/**
	 * The note may have been accepted. Submitting the same note again gives the outcome.
	 */
	UNKNOWN(7, "the note may have been accepted: submit the same note again to get the outcome"),

	/**
	 * No entry can be reached, or the platform's store is unavailable. The call had no
	 * effect.
	 */
	UNAVAILABLE(8, "no entry can be reached, or the platform's store is unavailable; the call had no effect"),

	/**
	 * The note was accepted, but was not in force everywhere when the wait timed out.
	 */
	NOT_YET_IN_FORCE(9, "accepted, but not in force everywhere when the wait timed out");

	private final int code;

	private final String meaning;

	ExitCode(int code, String meaning) {
		this.code = code;
		this.meaning = meaning;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the exit code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the description of the code.
	 * @return the description in plain English
	 */
	public String meaning() {
		return this.meaning;
	}

	static ExitCode ofError(String errorCode) {
		return switch (errorCode) {
			case "note-invalid", "malformed", "request-too-large" -> INVALID;
			case "note-conflict" -> OUTDATED;
			case "not-found" -> NOT_FOUND;
			case "store-unknown" -> UNKNOWN;
			case "store-unavailable" -> UNAVAILABLE;
			case "internal" -> INTERNAL;
			default -> REFUSED;
		};
	}

}
