package org.crocuspost.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.LocatedValue.BooleanValue;
import org.crocuspost.json.LocatedValue.NullValue;
import org.crocuspost.json.LocatedValue.NumberValue;
import org.crocuspost.json.LocatedValue.ObjectValue;
import org.crocuspost.json.LocatedValue.Position;
import org.crocuspost.json.LocatedValue.StringValue;

/**
 * Reads JSON with comments from outside into values with line, column and path. Reading
 * never throws: malformed text is reported as a fault.
 */
public final class LocatedDocument {

	private static final int MAXIMUM_DEPTH = 32;

	private static final int MAXIMUM_NUMBER_LENGTH = 100;

	private static final String ROOT_PATH = "$";

	private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_-]*");

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(MAXIMUM_DEPTH)
			.maxNumberLength(MAXIMUM_NUMBER_LENGTH)
			.build())
		.build();

	private final JsonParser parser;

	private final JsonFaults faults;

	private LocatedDocument(JsonParser parser, JsonFaults faults) {
		this.parser = parser;
		this.faults = faults;
	}

	/**
	 * Reads a text that holds one JSON value.
	 * @param text the text
	 * @param faults collects syntax errors and duplicate members
	 * @return the value, or empty if the text is not JSON
	 */
	public static Optional<LocatedValue> read(String text, JsonFaults faults) {
		try (JsonParser parser = FACTORY.createParser(text)) {
			return new LocatedDocument(parser, faults).readRoot();
		}
		catch (JsonProcessingException ex) {
			faults.add(syntaxError(ex));
			return Optional.empty();
		}
		catch (IOException ex) {
			faults.add(new JsonFault(1, 1, ROOT_PATH, String.valueOf(ex.getMessage()), "JSON"));
			return Optional.empty();
		}
	}

	private static JsonFault syntaxError(JsonProcessingException ex) {
		JsonLocation location = ex.getLocation();
		int line = (location != null) ? Math.max(1, location.getLineNr()) : 1;
		int column = (location != null) ? Math.max(1, location.getColumnNr()) : 1;
		return new JsonFault(line, column, ROOT_PATH, String.valueOf(ex.getOriginalMessage()), "JSON with comments");
	}

	private Optional<LocatedValue> readRoot() throws IOException {
		JsonToken token = this.parser.nextToken();
		if (token == null) {
			this.faults.add(new JsonFault(1, 1, ROOT_PATH, "nothing", "one JSON value"));
			return Optional.empty();
		}
		LocatedValue root = readValue(ROOT_PATH);
		if (this.parser.nextToken() != null) {
			this.faults.add(new JsonFault(line(), column(), ROOT_PATH, "more text after the value", "one JSON value"));
		}
		return Optional.of(root);
	}

	private LocatedValue readValue(String path) throws IOException {
		Position position = new Position(line(), column(), path);
		return switch (this.parser.currentToken()) {
			case START_OBJECT -> readObject(position);
			case START_ARRAY -> readArray(position);
			case VALUE_STRING -> new StringValue(position, this.parser.getText());
			case VALUE_TRUE -> new BooleanValue(position, true);
			case VALUE_FALSE -> new BooleanValue(position, false);
			case VALUE_NULL -> new NullValue(position);
			default -> new NumberValue(position, this.parser.getText());
		};
	}

	private ObjectValue readObject(Position position) throws IOException {
		Map<String, LocatedValue> members = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String name = this.parser.currentName();
			int line = line();
			int column = column();
			this.parser.nextToken();
			String path = memberPath(position.path(), name);
			if (members.put(name, readValue(path)) != null) {
				this.faults.add(new JsonFault(line, column, path, "the member a second time", "each member once"));
			}
		}
		return new ObjectValue(position, members);
	}

	private ArrayValue readArray(Position position) throws IOException {
		List<LocatedValue> elements = new ArrayList<>();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			elements.add(readValue(position.path() + "[" + elements.size() + "]"));
		}
		return new ArrayValue(position, elements);
	}

	private static String memberPath(String parent, String name) {
		return PLAIN_NAME.matcher(name).matches() ? parent + "." + name : parent + "[" + Json.write(name) + "]";
	}

	private int line() {
		return this.parser.currentTokenLocation().getLineNr();
	}

	private int column() {
		return this.parser.currentTokenLocation().getColumnNr();
	}

}
