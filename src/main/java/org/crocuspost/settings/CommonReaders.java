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
 * Readers of values that several kinds of settings share. Each reader yields a valid
 * placeholder after a fault, so that reading goes on and finds the other faults.
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

	static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	static final URI NO_URL = URI.create("http://127.0.0.1:1");

	static final Secret NO_SECRET = new Secret("");

	static final PlatformUrl NO_PLATFORM_URL = new PlatformUrl(NO_URL);

	static final PlatformSettings NO_PLATFORM = new PlatformSettings(NO_PLATFORM_URL, NO_PLATFORM_URL,
			HttpLimits.DEFAULT);

	private static final int SHORTEST_SECRET = 16;

	private static final int MAXIMUM_PORT = 65_535;

	private static final long MAXIMUM_AMOUNT = 1_000_000_000L;

	private static final Duration SHORTEST = Duration.ofMillis(1);

	private static final Duration LONGEST = Duration.ofHours(1);

	private CommonReaders() {
	}

	static ValueReader<Duration> duration() {
		return ValueReaders.duration(SHORTEST, LONGEST);
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
			faults.add(value, "an IP number and a port from 0 to 65535, for example \"10.0.0.1:7400\"");
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
			if (address.filter((found) -> found.getPort() > 0).isPresent()) {
				return Optional.of(URI.create(string.text()));
			}
		}
		faults.add(value, "\"http://\" with an IP number and a port, for example \"http://10.0.0.1:7100\"");
		return Optional.empty();
	}

	static Optional<PlatformUrl> platformUrl(LocatedValue value, JsonFaults faults) {
		return url(value, faults).map(PlatformUrl::new);
	}

	private static Optional<Secret> secret(LocatedValue value, JsonFaults faults) {
		if (value instanceof StringValue string && string.text().length() >= SHORTEST_SECRET) {
			return Optional.of(new Secret(string.text()));
		}
		String found = (value instanceof StringValue string) ? "a string of " + string.text().length() + " characters"
				: value.describe();
		faults.add(value, found, "a string of at least " + SHORTEST_SECRET + " characters");
		return Optional.empty();
	}

	private static Optional<Resources> resources(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		Resources resources = new Resources(members.required("milliCores", ValueReaders.integer(0, MAXIMUM_AMOUNT), 0L),
				members.required("memoryMebibytes", ValueReaders.integer(0, MAXIMUM_AMOUNT), 0L),
				members.optional("accelerators", count(0, 1000), 0));
		members.reportUnknownMembers();
		return Optional.of(resources);
	}

	private static Optional<PlatformSettings> platform(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		PlatformUrl table = members.required("table", CommonReaders::platformUrl, NO_PLATFORM_URL);
		PlatformUrl objects = members.required("objects", CommonReaders::platformUrl, NO_PLATFORM_URL);
		HttpLimits defaults = HttpLimits.DEFAULT;
		Duration connect = members.optional("connectTimeout", duration(), defaults.connectTimeout());
		Duration call = members.optional("callTimeout", duration(), defaults.callTimeout());
		int connections = members.optional("connections", count(1, 1000), defaults.connections());
		members.reportUnknownMembers();
		if (call.compareTo(connect) < 0) {
			faults.add(members.locate("callTimeout"), call.toString(), "at least connectTimeout, which is " + connect);
			return Optional.empty();
		}
		return Optional.of(new PlatformSettings(table, objects,
				new HttpLimits(connect, call, connections, defaults.maximumBodyBytes())));
	}

}
