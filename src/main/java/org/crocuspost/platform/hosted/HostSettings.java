package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.crocuspost.lead.CandidateCapacity;
import org.crocuspost.net.Sockets;

/**
 * Settings with which the platform describes the host of a process.
 *
 * @param name the name of the host
 * @param ip the IP address of the host
 * @param failureDomain the failure domain of the host
 * @param callerAddress the address to which callers connect; empty on hosts of workers
 * @param readinessAddress the address at which the platform checks readiness; empty on
 * hosts of workers
 * @param heartbeatAddress the address to which the worker of the host sends heartbeats;
 * empty on entry hosts
 * @param internalPort the first port of the range reserved for crocuspost processes
 * @param storeAddress the address of the platform's store
 * @param workerAddress the address of the worker of the host; empty on entry hosts
 * @param heartbeatInterval the time between two heartbeats of a worker
 * @param limits the limits that the platform sets
 * @param capacity the processor capacity and the bandwidth of the host
 * @param maximumDescriptors the number of file descriptors of the process
 * @param admissionControl whether jobs that could not end while of use are rejected
 */
public record HostSettings(String name, String ip, String failureDomain, Optional<InetSocketAddress> callerAddress,
		Optional<InetSocketAddress> readinessAddress, Optional<InetSocketAddress> heartbeatAddress, int internalPort,
		InetSocketAddress storeAddress, Optional<InetSocketAddress> workerAddress, Duration heartbeatInterval,
		PlatformLimits limits, CandidateCapacity capacity, int maximumDescriptors, boolean admissionControl) {

	/**
	 * Descriptors of a process without a setting, the usual limit of the operating
	 * system.
	 */
	private static final int DEFAULT_DESCRIPTORS = 1_024;

	/**
	 * Decodes the settings file of the platform.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException if the file has errors; the message lists them all
	 */
	public static HostSettings of(PropertyFile file) {
		String graceSetting = "bounds.grace_s";
		HostSettings settings = new HostSettings(file.text("node_name"), file.text("ip"), file.text("zone"),
				file.optional("listen_addrs.frontend_addr").flatMap(file::address),
				file.optional("listen_addrs.readiness_addr").flatMap(file::address),
				file.optional("listen_addrs.control_plane").flatMap(file::address),
				(int) file.number("port_range", (text) -> Double.parseDouble(text.split(",")[0])),
				file.address(file.text("platform.address")).orElse(Sockets.parseAddress("0.0.0.0:0")),
				file.optional("app").flatMap(file::address), file.milliseconds("heartbeat_ms"),
				new PlatformLimits(file.milliseconds("bounds.max_hold_ms"), file.milliseconds("bounds.stop_timeout_ms"),
						Duration.ofMillis((long) (file.number(graceSetting, Double::parseDouble) * 1_000)),
						file.number("bounds.remote_penalty", Double::parseDouble),
						file.milliseconds("bounds.interference_ms"), file.milliseconds("bounds.cancel_ms"),
						Duration.ofSeconds((long) file.number("bounds.status_s", Double::parseDouble)),
						(int) file.number("platform.row_bytes", Double::parseDouble)),
				capacity(file), (int) file.optionalNumber("limits.max_fds", DEFAULT_DESCRIPTORS),
				file.flag("admission_control"));
		file.throwIfInvalid();
		return settings;
	}

	private static CandidateCapacity capacity(PropertyFile file) {
		double share = file.optionalNumber("limits.cpu_share", CandidateCapacity.AMPLE.cores());
		double speed = file.optionalNumber("limits.cpu_cores", 1);
		double bandwidth = file.optionalNumber("limits.link_mbps", CandidateCapacity.AMPLE.megabitsPerSecond());
		boolean valid = share > 0 && speed > 0 && bandwidth > 0;
		return valid ? new CandidateCapacity(share * speed, bandwidth) : CandidateCapacity.AMPLE;
	}

}
