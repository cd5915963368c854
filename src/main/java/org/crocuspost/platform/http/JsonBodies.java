package org.crocuspost.platform.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;

/**
 * Converts records to JSON bodies and back.
 */
public final class JsonBodies {

	/**
	 * Content type of the bodies.
	 */
	public static final String CONTENT_TYPE = "application/json";

	private JsonBodies() {
	}

	/**
	 * Serializes a record.
	 * @param value the record
	 * @return the JSON text in UTF-8
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
	 * Parses a body that was received from another process.
	 * @param bytes the body
	 * @param type the type of the record
	 * @param <T> the type of the record
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
	 * Parses the failure in the body of an error response.
	 * @param body the body
	 * @return the failure, or empty if the body is not a problem with a code of
	 * {@code ErrorCode}
	 */
	public static Optional<Failure> failure(byte[] body) {
		return read(body, ProblemBody.class).flatMap(ProblemBody::failure);
	}

}
