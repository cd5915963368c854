package org.crocuspost.platform.hosted;

import java.nio.charset.StandardCharsets;

import org.crocuspost.json.JsonTrees;

/**
 * Builds the JSON bodies of responses that report an error.
 */
final class JsonErrors {

	private JsonErrors() {
	}

	static String body(String reason) {
		return new String(JsonTrees.bytes(JsonTrees.object().put("error", reason)), StandardCharsets.UTF_8);
	}

}
