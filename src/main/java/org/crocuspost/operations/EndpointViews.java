package org.crocuspost.operations;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.error.Failure;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.RoutedEndpoint;
import org.crocuspost.wire.AgentStatus;

/**
 * Lists the endpoints that have been announced to an entry.
 */
public final class EndpointViews implements View<EndpointView> {

	private static final Comparator<EndpointView> ORDER = Comparator.comparing(EndpointView::service)
		.thenComparing(EndpointView::id);

	private final EndpointDirectory directory;

	private final ConfigurationSource configurations;

	/**
	 * Creates the view.
	 * @param directory the announced endpoints
	 * @param configurations supplies the configuration with the withdrawn endpoints and
	 * the failure domains that are out of service
	 */
	public EndpointViews(EndpointDirectory directory, ConfigurationSource configurations) {
		this.directory = directory;
		this.configurations = configurations;
	}

	@Override
	public Either<Failure, List<EndpointView>> read() {
		return Either.right(this.directory.endpoints().stream().map(this::view).sorted(ORDER).toList());
	}

	private EndpointView view(RoutedEndpoint endpoint) {
		AgentStatus status = endpoint.status();
		return new EndpointView(status.getEndpointId(), status.getService(), status.getWorker(),
				endpoint.peer().identity().failureDomain(), status.getSlots(), status.getSlotsUsed(),
				status.getQueued(), status.getAccepting(), state(endpoint, status));
	}

	private String state(RoutedEndpoint endpoint, AgentStatus status) {
		Configuration configuration = this.configurations.current();
		if (configuration.endpointsWithdrawn().contains(status.getEndpointId())) {
			return "withdrawn";
		}
		if (configuration.domainsOut().contains(endpoint.peer().identity().failureDomain())) {
			return "domain-out";
		}
		return endpoint.health().name().toLowerCase(Locale.ROOT);
	}

}
