package org.crocuspost.platform.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;

/**
 * Turns JSON bodies into records and back.
 */
public final class JsonBodies {

	/**
	 * Content type of the bodies.
	 */
	public static final String CONTENT_TYPE = "application/json";

	private JsonBodies() {
	}

	/**
	 * Writes a body.
	 * @param value a record
	 * @return the bytes in UTF-8
	 */
	public static byte[] write(Object value) {
		try {
			return Json.mapper().writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a body that came from outside.
	 * @param bytes the body
	 * @param type the record
	 * @param <T> the record
	 * @return the record, or empty if the body is malformed
	 */
	public static <T> Optional<T> read(byte[] bytes, Class<T> type) {
		JavaType javaType = Json.mapper().constructType(type);
		try {
			return Optional.ofNullable(Json.mapper().<T>readValue(bytes, javaType));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Reads the failure from an answer that is not a success.
	 * @param body the body
	 * @return the failure, or empty if the body is not a problem of the catalogue
	 */
	public static Optional<Failure> failure(byte[] body) {
		return read(body, ProblemBody.class).flatMap(ProblemBody::failure);
	}

}
