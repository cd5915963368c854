package org.crocuspost.release;

/**
 * Builds the JSON texts of release notes for tests.
 */
public final class NoteTexts {

	private NoteTexts() {
	}

	/**
	 * Returns a note.
	 * @param id the identifier
	 * @param basedOn the version on which the note is based
	 * @param sections the remaining members of the note
	 * @return the text
	 */
	public static String note(String id, long basedOn, String sections) {
		return "{\"id\": \"" + id + "\", \"basedOn\": " + basedOn + ", " + sections + "}";
	}

	/**
	 * Returns a note that adds one service.
	 * @param id the identifier
	 * @param basedOn the version on which the note is based
	 * @param service the name of the service, which is also its path without slashes
	 * @return the text
	 */
	public static String addService(String id, long basedOn, String service) {
		return note(id, basedOn, "\"added\": {\"services\": {\"" + service + "\": " + service(service) + "}}");
	}

	/**
	 * Returns a note that takes a failure domain out of service.
	 * @param id the identifier
	 * @param basedOn the version on which the note is based
	 * @param domain the failure domain
	 * @return the text
	 */
	public static String domainOut(String id, long basedOn, String domain) {
		return note(id, basedOn, "\"domains\": {\"out\": [\"" + domain + "\"]}");
	}

	/**
	 * Returns the declaration of a service.
	 * @param path the path without slashes
	 * @return the JSON object
	 */
	public static String service(String path) {
		return "{\"match\": {\"pathPrefix\": \"/" + path + "\"}, \"timeout\": \"PT1S\", \"objective\": "
				+ "{\"latency\": \"PT0.1S\", \"latencyQuantile\": 0.99, \"availability\": 0.999}}";
	}

}
