package org.crocuspost.tour;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.crocuspost.json.Json;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.settings.Secret;

/**
 * An operator who talks to one entry.
 */
final class TourOperator implements AutoCloseable {

	private static final int FIRST_ERROR = 400;

	private final BlockingHttpClient client = new BlockingHttpClient(HttpLimits.DEFAULT);

	private final String base;

	private final Secret token;

	/**
	 * Creates an operator.
	 * @param entry where the entry listens for operators
	 * @param token the bearer token
	 */
	TourOperator(InetSocketAddress entry, Secret token) {
		this.base = "http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort();
		this.token = token;
	}

	/**
	 * Submits a release note.
	 * @param note the text of the note
	 * @return whether the note was accepted
	 */
	boolean submit(String note) {
		HttpOutcome outcome = call("POST", "/notes", note.getBytes(StandardCharsets.UTF_8));
		return outcome instanceof HttpOutcome.Answered answered && answered.status() < FIRST_ERROR;
	}

	/**
	 * Asks whether a note is in force everywhere.
	 * @param noteId the identity of the note
	 * @return true if it is
	 */
	boolean inForce(String noteId) {
		HttpOutcome outcome = call("GET", "/notes/" + noteId, new byte[0]);
		return body(outcome).path("state").asText().equals("in-force");
	}

	private HttpOutcome call(String method, String path, byte[] body) {
		return this.client.call(method, URI.create(this.base + path), body, "application/json",
				(headers) -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + this.token.reveal()));
	}

	private static JsonNode body(HttpOutcome outcome) {
		if (outcome instanceof HttpOutcome.Answered answered && answered.status() < FIRST_ERROR) {
			return Json.read(new String(answered.body(), StandardCharsets.UTF_8), JsonNode.class);
		}
		return MissingNode.getInstance();
	}

	@Override
	public void close() {
		this.client.close();
	}

}
