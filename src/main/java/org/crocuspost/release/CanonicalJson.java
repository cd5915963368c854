package org.crocuspost.release;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import org.crocuspost.json.Json;

/**
 * Writes records so that equal records give equal bytes in every process: entries of maps
 * and elements of sets are sorted. Digests of snapshots and notes depend on it.
 */
final class CanonicalJson {

	private static final ObjectMapper MAPPER = Json.mapper()
		.copy()
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.registerModule(new SimpleModule().addSerializer(new SortedSetSerializer()));

	private CanonicalJson() {
	}

	static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static final class SortedSetSerializer extends StdSerializer<Set<?>> {

		private SortedSetSerializer() {
			super(Set.class, false);
		}

		@Override
		public void serialize(Set<?> value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeStartArray();
			for (Object element : new TreeSet<>(value)) {
				generator.writeObject(element);
			}
			generator.writeEndArray();
		}

	}

}
