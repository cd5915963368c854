package org.crocuspost.error;

/**
 * Lists every error that crocuspost reports, with its HTTP status, the verdict that it
 * implies and the template of its message.
 */
public enum ErrorCode {

	/**
	 * No service matches the host and path of a request.
	 */
	SERVICE_UNKNOWN(404, Verdict.NOT_RUN, "no service matches host %s and path %s"),

	/**
	 * The process has just started and does not know the services yet.
	 */
	CONFIGURATION_UNREAD(503, Verdict.NOT_RUN, "this entry has not read the configuration yet"),

	/**
	 * No endpoint of the service accepts requests at present.
	 */
	NO_ENDPOINT(503, Verdict.NOT_RUN, "service %s has no endpoint that accepts work"),

	/**
	 * The service has more requests than it can answer in time.
	 */
	OVERLOADED(503, Verdict.NOT_RUN, "service %s is overloaded"),

	/**
	 * The deadline passed before the request was forwarded.
	 */
	DEADLINE_BEFORE_START(504, Verdict.NOT_RUN, "the deadline passed before the request was started"),

	/**
	 * The deadline passed after the request was forwarded.
	 */
	DEADLINE_AFTER_START(504, Verdict.MAY_HAVE_RUN, "the deadline passed while the request may have been running"),

	/**
	 * The connection was lost after the request was forwarded.
	 */
	CONNECTION_LOST(502, Verdict.MAY_HAVE_RUN, "the connection to %s was lost while the request may have been running"),

	/**
	 * The endpoint refused the connection, so the request never left the agent.
	 */
	ENDPOINT_REFUSED(503, Verdict.NOT_RUN, "endpoint %s refused the connection"),

	/**
	 * The response of the endpoint ended early.
	 */
	ANSWER_INCOMPLETE(502, Verdict.MAY_HAVE_RUN, "the answer of endpoint %s broke off"),

	/**
	 * The response of the endpoint carries the ID of another request.
	 */
	ANSWER_MISMATCHED(502, Verdict.MAY_HAVE_RUN, "the answer of endpoint %s belongs to another request"),

	/**
	 * An idempotency key was used before with another request.
	 */
	KEY_REUSED(422, Verdict.NOT_RUN, "the idempotency key was used before with another request"),

	/**
	 * The agent admits no new requests to the endpoint because the endpoint is leaving.
	 */
	ENDPOINT_LEAVING(503, Verdict.NOT_RUN, "endpoint %s is leaving"),

	/**
	 * The agent recorded that it will never run the request.
	 */
	REQUEST_CANCELLED(503, Verdict.NOT_RUN, "request %s was cancelled before it started"),

	/**
	 * Another attempt of the same request is running or has run with an unknown result.
	 */
	DUPLICATE_REQUEST(409, Verdict.MAY_HAVE_RUN, "another attempt of request %s may have run"),

	/**
	 * A request is larger than its limit.
	 */
	REQUEST_TOO_LARGE(413, Verdict.NOT_RUN, "the request body is larger than %s bytes"),

	/**
	 * A request or a message is malformed.
	 */
	MALFORMED(400, Verdict.NOT_RUN, "malformed: %s"),

	/**
	 * The credentials of an operator are missing or invalid.
	 */
	UNAUTHORIZED(401, Verdict.NOT_RUN, "a valid bearer token is required"),

	/**
	 * A release note is invalid.
	 */
	NOTE_INVALID(422, Verdict.NOT_RUN, "the release note has %s faults"),

	/**
	 * A release note was written for another version than the one in force.
	 */
	NOTE_CONFLICT(409, Verdict.NOT_RUN, "the release note was written for version %s, but the version is %s"),

	/**
	 * Another release note was accepted with the same ID.
	 */
	NOTE_ID_TAKEN(409, Verdict.NOT_RUN, "another release note was accepted as %s at version %s"),

	/**
	 * A caller or operator exceeds its request rate limit.
	 */
	RATE_LIMITED(429, Verdict.NOT_RUN, "more than %s requests a second"),

	/**
	 * The resource with the given ID does not exist.
	 */
	NOT_FOUND(404, Verdict.NOT_RUN, "%s does not exist"),

	/**
	 * The platform's table service or object store did not accept the call.
	 */
	STORE_UNAVAILABLE(503, Verdict.NOT_RUN, "the platform's store is unavailable: %s"),

	/**
	 * The platform's store rejects a transaction for what it contains, so that the same
	 * transaction is rejected again.
	 */
	STORE_REJECTED(503, Verdict.NOT_RUN, "the platform's store rejects the transaction: %s"),

	/**
	 * The platform's store did not respond to a write, which may have taken effect.
	 */
	STORE_UNKNOWN(503, Verdict.MAY_HAVE_RUN, "the platform's store did not answer: %s"),

	/**
	 * A write or a command carries a fencing token that is too old.
	 */
	FENCED(409, Verdict.NOT_RUN, "epoch %s is older than epoch %s"),

	/**
	 * A worker does not have enough free resources for a task.
	 */
	WORKER_FULL(409, Verdict.NOT_RUN, "worker %s has no room for task %s"),

	/**
	 * A worker failed to carry out a task command.
	 */
	WORKER_FAILED(502, Verdict.MAY_HAVE_RUN, "worker %s failed: %s"),

	/**
	 * A start command arrived after its time limit for execution.
	 */
	START_EXPIRED(409, Verdict.NOT_RUN, "the start command for task %s is too old"),

	/**
	 * A peer does not have the secret of the deployment.
	 */
	PEER_REJECTED(403, Verdict.NOT_RUN, "the peer does not belong to this deployment"),

	/**
	 * The settings are invalid.
	 */
	SETTINGS_INVALID(500, Verdict.NOT_RUN, "the settings have %s faults"),

	/**
	 * An internal error of crocuspost.
	 */
	INTERNAL(500, Verdict.MAY_HAVE_RUN, "internal error: %s");

	private final int status;

	private final Verdict verdict;

	private final String template;

	ErrorCode(int status, Verdict verdict, String template) {
		this.status = status;
		this.verdict = verdict;
		this.template = template;
	}

	/**
	 * Returns the HTTP status with which the error is reported.
	 * @return an HTTP status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the verdict that the error implies.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Returns the code as it appears in responses, logs and metrics.
	 * @return the code in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the template of the message, in the syntax of
	 * {@link String#format(String, Object...)}.
	 * @return the template
	 */
	public String template() {
		return this.template;
	}

	/**
	 * Creates a failure with this code.
	 * @param arguments the values for the template
	 * @return the failure
	 */
	public Failure with(Object... arguments) {
		return new Failure(this, String.format(this.template, arguments));
	}

}
