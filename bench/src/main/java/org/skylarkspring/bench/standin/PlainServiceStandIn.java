package org.skylarkspring.bench.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;

import org.skylarkspring.entry.api.EngineMessages;

/**
 * Stand-in for a plain service whose bookings must not be repeated.
 * {@code POST /bookings} executes a booking on each call, even if the idempotency key was
 * used before; {@code GET /bookings} lists all executed bookings with their keys, so that
 * tests can detect duplicates.
 */
public final class PlainServiceStandIn implements HttpHandler {

	private static final long PROCESSING_MILLIS = 30;

	private final long incarnation = System.currentTimeMillis();

	private final List<Booking> bookings = new ArrayList<>();

	private int runningCalls;

	/**
	 * Starts the stand-in.
	 * @param address host and port to listen on
	 * @return the running server
	 */
	public static Undertow start(String address) {
		return StandInServer.start(address, new PlainServiceStandIn());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/load")) {
			sendLoad(exchange);
		}
		else if (path.equals("/bookings") && exchange.getRequestMethod().equals(Methods.POST)) {
			exchange.getRequestReceiver().receiveFullString(this::executeBooking);
		}
		else if (path.equals("/bookings")) {
			sendBookings(exchange);
		}
		else {
			StandInServer.sendJson(exchange, 404, Map.of());
		}
	}

	private synchronized void executeBooking(HttpServerExchange exchange, String body) {
		String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
		Booking booking = new Booking(this.bookings.size() + 1, (key != null) ? key : "", body);
		this.bookings.add(booking);
		this.runningCalls++;
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
			.executeAfter(() -> respond(exchange, booking), PROCESSING_MILLIS, TimeUnit.MILLISECONDS));
	}

	private synchronized void respond(HttpServerExchange exchange, Booking booking) {
		this.runningCalls--;
		StandInServer.sendJson(exchange, 201, Map.of("bookingNumber", booking.bookingNumber()));
	}

	private synchronized void sendBookings(HttpServerExchange exchange) {
		StandInServer.sendJson(exchange, 200, this.bookings);
	}

	private synchronized void sendLoad(HttpServerExchange exchange) {
		StandInServer.sendJson(exchange, 200,
				new EngineMessages.LoadResponse(this.incarnation, System.currentTimeMillis(), this.runningCalls, 0, 0,
						0, 0, (this.runningCalls > 0) ? 1 : 0, 0, null, false, List.of()));
	}

	private record Booking(int bookingNumber, String key, String body) {
	}

}
