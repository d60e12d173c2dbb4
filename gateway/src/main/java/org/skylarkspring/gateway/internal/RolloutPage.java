package org.skylarkspring.gateway.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.rollout.RolloutState;
import org.skylarkspring.gateway.rollout.RolloutStatus;
import org.skylarkspring.gateway.rollout.RolloutTable;

/**
 * Shows operators the rollouts that an instance knows, as text or JSON.
 */
final class RolloutPage {

	static final String PATH = "/rollouts";

	private static final String JSON_TYPE = "application/json";

	private final Gson gson = new GsonBuilder().setPrettyPrinting().create();

	private final RolloutTable table;

	private final Scheduler scheduler;

	RolloutPage(RolloutTable table, Scheduler scheduler) {
		this.table = table;
		this.scheduler = scheduler;
	}

	void handleRequest(HttpServerExchange exchange) {
		String accepted = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
		boolean json = (accepted != null && accepted.contains(JSON_TYPE));
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, json ? JSON_TYPE : "text/plain; charset=utf-8");
		exchange.getResponseSender().send(json ? toJson() : toText());
	}

	String toJson() {
		return this.gson.toJson(describeAll());
	}

	String toText() {
		return describeAll().stream()
			.map((fields) -> fields.entrySet()
				.stream()
				.map((field) -> field.getKey() + ": " + field.getValue() + "\n")
				.collect(Collectors.joining()))
			.collect(Collectors.joining("\n"));
	}

	private List<Map<String, Object>> describeAll() {
		return this.table.all().stream().map(this::describe).toList();
	}

	private Map<String, Object> describe(RolloutState state) {
		long now = this.scheduler.nowMillis();
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("rollout", state.rollout().name());
		fields.put("service", state.rollout().service());
		fields.put("target", state.rollout().target());
		fields.put("established", this.table.establishedVersion(state.rollout().service()).orElse(""));
		fields.put("stage", state.stage().name());
		fields.put("decidedBy", state.rollout().currentStatus().map(RolloutStatus::decidedBy).orElse(""));
		fields.put("reason", state.rollout().currentStatus().map(RolloutStatus::reason).orElse(""));
		fields.put("evidence", state.evidenceSummary());
		fields.put("localFault", state.localFault().orElse(""));
		fields.put("requestsHere", state.budget().requests());
		fields.put("sentHere", state.budget().sent());
		fields.put("millisToLimit", state.schedule().limitMillis() - now);
		fields.put("ageMillis", this.table.ageMillis(now));
		return fields;
	}

}
