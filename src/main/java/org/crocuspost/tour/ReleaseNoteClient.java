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
 * Client that submits release notes to one entry as an operator.
 */
final class ReleaseNoteClient implements AutoCloseable {

	private static final int FIRST_ERROR_STATUS = 400;

	private final BlockingHttpClient client = new BlockingHttpClient(HttpLimits.DEFAULT);

	private final String baseUrl;

	private final Secret token;

	/**
	 * Creates a client.
	 * @param entry the address at which the entry accepts requests of operators
	 * @param token the bearer token
	 */
	ReleaseNoteClient(InetSocketAddress entry, Secret token) {
		this.baseUrl = "http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort();
		this.token = token;
	}

	/**
	 * Submits a release note.
	 * @param note the text of the release note
	 * @return whether the release note was accepted
	 */
	boolean submit(String note) {
		HttpOutcome outcome = call("POST", "/notes", note.getBytes(StandardCharsets.UTF_8));
		return outcome instanceof HttpOutcome.Answered answered && answered.status() < FIRST_ERROR_STATUS;
	}

	/**
	 * Returns whether a release note is in force everywhere.
	 * @param noteId the identity of the release note
	 * @return whether it is in force; false if the request fails
	 */
	boolean isInForceEverywhere(String noteId) {
		HttpOutcome outcome = call("GET", "/notes/" + noteId, new byte[0]);
		return parseBody(outcome).path("state").asText().equals("in-force");
	}

	private HttpOutcome call(String method, String path, byte[] body) {
		return this.client.call(method, URI.create(this.baseUrl + path), body, "application/json",
				(headers) -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + this.token.reveal()));
	}

	private static JsonNode parseBody(HttpOutcome outcome) {
		if (outcome instanceof HttpOutcome.Answered answered && answered.status() < FIRST_ERROR_STATUS) {
			return Json.read(new String(answered.body(), StandardCharsets.UTF_8), JsonNode.class);
		}
		return MissingNode.getInstance();
	}

	@Override
	public void close() {
		this.client.close();
	}

}
