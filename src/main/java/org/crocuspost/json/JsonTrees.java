package org.crocuspost.json;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON documents as trees. Uses an object mapper without modules, which
 * shortens the start of a process.
 */
public final class JsonTrees {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private JsonTrees() {
	}

	/**
	 * Creates an empty object.
	 * @return the empty object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Reads a document.
	 * @param body the document in UTF-8
	 * @return the root node
	 * @throws IOException if the document is malformed or empty
	 */
	public static JsonNode read(byte[] body) throws IOException {
		JsonNode node = MAPPER.readTree(body);
		if (node == null || node.isMissingNode()) {
			throw new IOException("the body is empty");
		}
		return node;
	}

	/**
	 * Writes a document.
	 * @param node the root node
	 * @return the document in UTF-8
	 */
	public static byte[] bytes(JsonNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
