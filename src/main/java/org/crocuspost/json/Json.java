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

/**
 * JSON mapper shared by all parts. Reads comments; writes durations and instants as ISO
 * 8601 strings.
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
	 * @return the mapper; not to be reconfigured
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Writes a value that crocuspost defined itself.
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
	 * Reads a text that crocuspost wrote itself. Members that this version does not know
	 * are ignored, since during a replacement of hosts the writer may be newer. For input
	 * from outside use a reader that reports faults.
	 * @param text the JSON text
	 * @param type the type to read
	 * @param <T> the type to read
	 * @return the value
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
