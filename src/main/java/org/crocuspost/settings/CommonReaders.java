package org.crocuspost.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;
import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.LocatedValue.StringValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.json.ValueReader;
import org.crocuspost.json.ValueReaders;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.worker.Resources;

/**
 * Reads values that occur in the settings of several processes. After a fault, a valid
 * placeholder stands for the value, so that reading continues and finds the other faults.
 */
final class CommonReaders {

	static final ValueReader<String> NAME = ValueReaders.string(Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}"),
			"a name of 1 to 128 letters, digits, dots, hyphens and underscores that starts with a letter or digit");

	static final ValueReader<List<String>> NAMES = CommonReaders::names;

	static final ValueReader<InetSocketAddress> ADDRESS = CommonReaders::address;

	static final ValueReader<URI> URL = CommonReaders::url;

	static final ValueReader<Secret> SECRET = CommonReaders::secret;

	static final ValueReader<Resources> RESOURCES = CommonReaders::resources;

	static final ValueReader<PlatformSettings> PLATFORM = CommonReaders::platform;

	static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	static final URI PLACEHOLDER_URL = URI.create("http://127.0.0.1:1");

	static final Secret PLACEHOLDER_SECRET = new Secret("");

	static final PlatformUrl PLACEHOLDER_PLATFORM_URL = new PlatformUrl(PLACEHOLDER_URL);

	static final PlatformSettings PLACEHOLDER_PLATFORM = new PlatformSettings(PLACEHOLDER_PLATFORM_URL,
			PLACEHOLDER_PLATFORM_URL, HttpLimits.DEFAULT);

	private static final int MINIMUM_SECRET_LENGTH = 16;

	private static final int MAXIMUM_PORT = 65_535;

	private static final long MAXIMUM_RESOURCE_AMOUNT = 1_000_000_000L;

	private static final Duration MINIMUM_DURATION = Duration.ofMillis(1);

	private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

	private CommonReaders() {
	}

	static ValueReader<Duration> duration() {
		return ValueReaders.duration(MINIMUM_DURATION, MAXIMUM_DURATION);
	}

	static ValueReader<Integer> count(int minimum, int maximum) {
		return (value, faults) -> ValueReaders.integer(minimum, maximum).read(value, faults).map(Long::intValue);
	}

	private static Optional<List<String>> names(LocatedValue value, JsonFaults faults) {
		Optional<List<String>> names = ValueReaders.list(NAME).read(value, faults);
		if (value instanceof ArrayValue array) {
			if (array.elements().isEmpty()) {
				faults.add(value, "an empty array", "at least one name");
			}
			reportDuplicates(array, faults);
		}
		return names;
	}

	private static void reportDuplicates(ArrayValue array, JsonFaults faults) {
		Set<String> seen = new HashSet<>();
		for (LocatedValue element : array.elements()) {
			if (element instanceof StringValue string && !seen.add(string.text())) {
				faults.add(element, element.describe() + " a second time", "each name once");
			}
		}
	}

	private static Optional<InetSocketAddress> address(LocatedValue value, JsonFaults faults) {
		Optional<InetSocketAddress> address = (value instanceof StringValue string) ? parseAddress(string.text())
				: Optional.empty();
		if (address.isEmpty()) {
			faults.add(value, "an IP address and a port from 0 to 65535, for example \"10.0.0.1:7400\"");
		}
		return address;
	}

	private static Optional<InetSocketAddress> parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			return Optional.empty();
		}
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
		Optional<Integer> port = parsePort(text.substring(colon + 1));
		if (bytes == null || port.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), port.get()));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Integer> parsePort(String text) {
		if (!text.matches("[0-9]{1,5}")) {
			return Optional.empty();
		}
		return Optional.of(Integer.parseInt(text)).filter((port) -> port <= MAXIMUM_PORT);
	}

	private static Optional<URI> url(LocatedValue value, JsonFaults faults) {
		if (value instanceof StringValue string && string.text().startsWith("http://")) {
			Optional<InetSocketAddress> address = parseAddress(string.text().substring("http://".length()));
			if (address.filter((parsed) -> parsed.getPort() > 0).isPresent()) {
				return Optional.of(URI.create(string.text()));
			}
		}
		faults.add(value, "\"http://\" with an IP address and a port, for example \"http://10.0.0.1:7100\"");
		return Optional.empty();
	}

	static Optional<PlatformUrl> platformUrl(LocatedValue value, JsonFaults faults) {
		return url(value, faults).map(PlatformUrl::new);
	}

	private static Optional<Secret> secret(LocatedValue value, JsonFaults faults) {
		if (value instanceof StringValue string && string.text().length() >= MINIMUM_SECRET_LENGTH) {
			return Optional.of(new Secret(string.text()));
		}
		String found = (value instanceof StringValue string) ? "a string of " + string.text().length() + " characters"
				: value.describe();
		faults.add(value, found, "a string of at least " + MINIMUM_SECRET_LENGTH + " characters");
		return Optional.empty();
	}

	private static Optional<Resources> resources(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		Resources resources = new Resources(
				members.required("milliCores", ValueReaders.integer(0, MAXIMUM_RESOURCE_AMOUNT), 0L),
				members.required("memoryMebibytes", ValueReaders.integer(0, MAXIMUM_RESOURCE_AMOUNT), 0L),
				members.optional("accelerators", count(0, 1000), 0));
		members.reportUnknownMembers();
		return Optional.of(resources);
	}

	private static Optional<PlatformSettings> platform(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		PlatformUrl table = members.required("table", CommonReaders::platformUrl, PLACEHOLDER_PLATFORM_URL);
		PlatformUrl objects = members.required("objects", CommonReaders::platformUrl, PLACEHOLDER_PLATFORM_URL);
		HttpLimits defaults = HttpLimits.DEFAULT;
		Duration connectTimeout = members.optional("connectTimeout", duration(), defaults.connectTimeout());
		Duration callTimeout = members.optional("callTimeout", duration(), defaults.callTimeout());
		int connections = members.optional("connections", count(1, 1000), defaults.connections());
		members.reportUnknownMembers();
		if (callTimeout.compareTo(connectTimeout) < 0) {
			faults.add(members.locate("callTimeout"), callTimeout.toString(),
					"at least connectTimeout, which is " + connectTimeout);
			return Optional.empty();
		}
		return Optional.of(new PlatformSettings(table, objects,
				new HttpLimits(connectTimeout, callTimeout, connections, defaults.maximumBodyBytes())));
	}

}
