package org.crocuspost.json;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vavr.control.Either;

/**
 * Reads and writes JSON with an object mapper that all packages share. Accepts comments
 * and trailing commas; writes durations and instants as ISO 8601 strings.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
		.serializationInclusion(JsonInclude.Include.ALWAYS)
		.addModule(new JavaTimeModule())
		.addModule(new Jdk8Module())
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper.
	 * @return the mapper; callers must not reconfigure it
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Writes a value of a type that crocuspost defines.
	 * @param value a record
	 * @return the JSON text on one line
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a text in a place where another program may have written as well.
	 * @param text the text
	 * @param type the class of the value
	 * @param <T> the type of the value
	 * @return the value, or the reason why the text holds none
	 */
	public static <T> Either<String, T> parse(String text, Class<T> type) {
		try {
			return Either.right(read(text, type));
		}
		catch (UncheckedIOException ex) {
			return Either.left(String.valueOf(ex.getCause().getMessage()));
		}
	}

	/**
	 * Reads a text that crocuspost wrote. Unknown members are ignored, because the writer
	 * may run a newer version while hosts are being replaced. Input from outside must be
	 * read with {@link LocatedDocument}, which reports faults.
	 * @param text the JSON text
	 * @param type the class of the value
	 * @param <T> the type of the value
	 * @return the value
	 * @throws UncheckedIOException if the text is malformed, does not match the type or
	 * is the JSON value null
	 */
	public static <T> T read(String text, Class<T> type) {
		try {
			T value = MAPPER.readerFor(type).without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).readValue(text);
			if (value == null) {
				throw new IOException("null in place of " + type.getSimpleName());
			}
			return value;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
