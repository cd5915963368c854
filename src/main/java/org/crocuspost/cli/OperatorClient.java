package org.crocuspost.cli;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.crocuspost.json.Json;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.HttpOutcome;
import org.crocuspost.settings.OperatorSettings;

/**
 * Calls the operators' HTTP interface. Tries the entries in order until one responds.
 * Every call may be repeated, because a note that is submitted twice is accepted once.
 */
final class OperatorClient implements AutoCloseable {

	private static final int FIRST_ERROR_STATUS = 400;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

	private final OperatorSettings settings;

	private final BlockingHttpClient http;

	OperatorClient(OperatorSettings settings) {
		this.settings = settings;
		Duration connect = (settings.timeout().compareTo(CONNECT_TIMEOUT) < 0) ? settings.timeout() : CONNECT_TIMEOUT;
		this.http = new BlockingHttpClient(new HttpLimits(connect, settings.timeout(), 1, MAXIMUM_BODY_BYTES));
	}

	CallResult get(String path) {
		return call("GET", path, new byte[0]);
	}

	CallResult post(String path, byte[] body) {
		return call("POST", path, body);
	}

	/**
	 * Calls every entry.
	 * @param path the path
	 * @return the result of each entry, {@code NoAnswer} included, in the order of the
	 * settings
	 */
	List<CallResult> getFromEach(String path) {
		return this.settings.entries().stream().map((entry) -> call("GET", entry, path, new byte[0])).toList();
	}

	private CallResult call(String method, String path, byte[] body) {
		List<String> reasons = new ArrayList<>();
		boolean mayHaveRun = false;
		for (URI entry : this.settings.entries()) {
			CallResult result = call(method, entry, path, body);
			if (!(result instanceof CallResult.NoAnswer noAnswer)) {
				return result;
			}
			mayHaveRun |= noAnswer.mayHaveRun();
			reasons.add(entry + ": " + noAnswer.reason());
		}
		return new CallResult.NoAnswer(mayHaveRun, String.join("; ", reasons));
	}

	private CallResult call(String method, URI entry, String path, byte[] body) {
		String base = entry.toString().replaceAll("/+$", "");
		HttpOutcome outcome = this.http.call(method, URI.create(base + path), body, "application/json",
				(headers) -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + this.settings.token().reveal()));
		if (outcome instanceof HttpOutcome.Answered answered) {
			return read(answered);
		}
		if (outcome instanceof HttpOutcome.NeverSent neverSent) {
			return new CallResult.NoAnswer(false, neverSent.reason());
		}
		return new CallResult.NoAnswer(true, ((HttpOutcome.Unanswered) outcome).reason());
	}

	private static CallResult read(HttpOutcome.Answered answered) {
		JsonNode body = parse(answered.body());
		return (answered.status() < FIRST_ERROR_STATUS) ? new CallResult.Success(body) : new CallResult.Problem(body);
	}

	private static JsonNode parse(byte[] body) {
		try {
			return Json.mapper().readTree(body);
		}
		catch (IOException ex) {
			return JsonNodeFactory.instance.objectNode().put("detail", "the response is not JSON");
		}
	}

	@Override
	public void close() {
		this.http.close();
	}

}
