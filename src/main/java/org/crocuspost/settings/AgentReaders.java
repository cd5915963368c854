package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.worker.Resources;

/**
 * Readers of the settings of agents.
 */
final class AgentReaders {

	static final int MOST_SLOTS = 10_000;

	private static final int MOST_ENTRIES = 100;

	private static final AgentSettings.Endpoint NO_ENDPOINT = new AgentSettings.Endpoint("", "", CommonReaders.NO_URL,
			1, 1, 0);

	private static final AgentSettings.Worker NO_WORKER = new AgentSettings.Worker("", CommonReaders.NO_PLATFORM_URL,
			Resources.NONE, Resources.NONE);

	private AgentReaders() {
	}

	static Optional<AgentSettings> agent(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		String domain = members.required("failureDomain", CommonReaders.NAME, "");
		String rack = members.required("rack", CommonReaders.NAME, "");
		InetSocketAddress monitoring = members.required("monitoring", CommonReaders.ADDRESS, CommonReaders.NO_ADDRESS);
		Secret secret = members.required("secret", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		PlatformSettings platform = members.required("platform", CommonReaders.PLATFORM, CommonReaders.NO_PLATFORM);
		AgentSettings.Endpoint endpoint = members.required("endpoint", AgentReaders::endpoint, NO_ENDPOINT);
		AgentSettings.Worker worker = members.required("worker", AgentReaders::worker, NO_WORKER);
		int entries = members.optional("entryConnections", CommonReaders.count(1, MOST_ENTRIES),
				AgentSettings.DEFAULT_ENTRY_CONNECTIONS);
		AgentSettings.Times times = members.optional("times", AgentReaders::times, AgentSettings.Times.DEFAULT);
		members.reportUnknownMembers();
		return Optional
			.of(new AgentSettings(name, domain, rack, monitoring, secret, platform, endpoint, worker, entries, times));
	}

	private static Optional<AgentSettings.Endpoint> endpoint(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String id = members.required("id", CommonReaders.NAME, "");
		String service = members.required("service", CommonReaders.NAME, "");
		URI url = members.required("url", CommonReaders.URL, CommonReaders.NO_URL);
		int slots = members.optional("slots", CommonReaders.count(1, MOST_SLOTS), AgentSettings.Endpoint.DEFAULT_SLOTS);
		int connections = members.optional("connections", CommonReaders.count(1, MOST_SLOTS),
				AgentSettings.Endpoint.DEFAULT_CONNECTIONS);
		int queue = members.optional("queue", CommonReaders.count(0, MOST_SLOTS), AgentSettings.Endpoint.DEFAULT_QUEUE);
		members.reportUnknownMembers();
		checkConnections(members, slots, connections, faults);
		return Optional.of(new AgentSettings.Endpoint(id, service, url, slots, connections, queue));
	}

	static void checkConnections(MemberReader members, int slots, int connections, JsonFaults faults) {
		if (connections < slots) {
			faults.add(members.locate("connections"), connections + " connections",
					"at least the slots, which are " + slots);
		}
	}

	private static Optional<AgentSettings.Worker> worker(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		PlatformUrl runtime = members.required("runtime", CommonReaders::platformUrl, CommonReaders.NO_PLATFORM_URL);
		Resources capacity = members.required("capacity", CommonReaders.RESOURCES, Resources.NONE);
		Resources reserved = members.required("reservedForService", CommonReaders.RESOURCES, Resources.NONE);
		members.reportUnknownMembers();
		checkReserved(members, capacity, reserved, faults);
		return Optional.of(new AgentSettings.Worker(name, runtime, capacity, reserved));
	}

	static void checkReserved(MemberReader members, Resources capacity, Resources reserved, JsonFaults faults) {
		if (!reserved.fitsInto(capacity)) {
			faults.add(members.locate("reservedForService"), describe(reserved),
					"at most the capacity, which is " + describe(capacity));
		}
	}

	private static String describe(Resources resources) {
		return resources.milliCores() + " milliCores, " + resources.memoryMebibytes() + " memoryMebibytes, "
				+ resources.accelerators() + " accelerators";
	}

	private static Optional<AgentSettings.Times> times(LocatedValue value, JsonFaults faults) {
		AgentSettings.Times defaults = AgentSettings.Times.DEFAULT;
		MemberReader members = MemberReader.of(value, faults);
		TimeReader reader = new TimeReader(members, faults);
		AgentSettings.Times times = new AgentSettings.Times(reader.optional("heartbeat", defaults.heartbeat()),
				reader.optional("startBudget", defaults.startBudget()),
				reader.optional("taskLease", defaults.taskLease()),
				reader.optional("checkpointInterval", defaults.checkpointInterval()),
				reader.optional("drain", defaults.drain()));
		members.reportUnknownMembers();
		reader.requireLonger("startBudget", times.startBudget(), "heartbeat", times.heartbeat());
		reader.requireLonger("taskLease", times.taskLease(), "twice heartbeat", times.heartbeat().multipliedBy(2));
		return Optional.of(times);
	}

}
