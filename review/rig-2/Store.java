import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** Stand-in of the platform's store: objects by kind and name, lists, watches and conditions. */
final class Store {

	private record Change(long revision, String kind, JsonObject object, boolean deleted) {
	}

	private final Map<String, TreeMap<String, JsonObject>> kinds = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private final ServerSocket listener;

	private long revision = 1;

	Store(String ip) throws IOException {
		this.listener = new ServerSocket(0, 500, InetAddress.getByName(ip));
		Threads.start(this::accept);
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/** Creates or replaces an object, as the operator and the workers do. */
	synchronized long put(String kind, String name, String specification) {
		TreeMap<String, JsonObject> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		JsonElement content = JsonParser.parseString(specification);
		JsonObject current = objects.get(name);
		if (current != null && current.get("specification").equals(content)) {
			return this.revision;
		}
		this.revision++;
		JsonObject metadata = new JsonObject();
		metadata.addProperty("name", name);
		metadata.addProperty("revision", this.revision);
		metadata.addProperty("created",
				(current != null) ? current.getAsJsonObject("metadata").get("created").getAsLong() : this.revision);
		metadata.add("finalizers", new JsonArray());
		metadata.addProperty("deleting", false);
		JsonObject object = new JsonObject();
		object.add("metadata", metadata);
		object.add("specification", content);
		object.add("status", null);
		objects.put(name, object);
		this.history.add(new Change(this.revision, kind, object, false));
		notifyAll();
		return this.revision;
	}

	synchronized boolean delete(String kind, String name) {
		JsonObject removed = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).remove(name);
		if (removed != null) {
			this.revision++;
			this.history.add(new Change(this.revision, kind, removed, true));
			notifyAll();
		}
		return removed != null;
	}

	synchronized boolean exists(String kind, String name) {
		return this.kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name);
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listener.accept();
				Threads.start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (Socket socket = connection) {
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
				answer(call, out);
			}
		}
		catch (IOException ex) {
			// The gateway has closed the connection.
		}
	}

	private void answer(Http.Message call, OutputStream out) throws IOException {
		String[] target = call.word(1).split("\\?", 2);
		String[] path = target[0].substring("/v1/objects/".length()).split("/");
		Map<String, String> query = new HashMap<>();
		if (target.length > 1) {
			for (String part : target[1].split("&")) {
				String[] pair = part.split("=", 2);
				query.put(pair[0], (pair.length > 1) ? pair[1] : "");
			}
		}
		switch (call.word(0)) {
			case "GET" -> get(path, query, out);
			case "DELETE" -> send(out, delete(path[0], path[1]) ? 200 : 404, "{}");
			default -> write(call, path, out);
		}
	}

	private void write(Http.Message call, String[] path, OutputStream out) throws IOException {
		JsonObject body = JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject();
		boolean create = call.word(0).equals("POST");
		String name = create ? body.getAsJsonObject("metadata").get("name").getAsString() : path[1];
		boolean exists = exists(path[0], name);
		if (create == exists) {
			send(out, create ? 409 : 404, "{}");
			return;
		}
		put(path[0], name, body.get("specification").toString());
		send(out, 200, "{}");
	}

	private void get(String[] path, Map<String, String> query, OutputStream out) throws IOException {
		if (path.length > 1) {
			JsonObject object;
			synchronized (this) {
				object = this.kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
			}
			send(out, (object != null) ? 200 : 404, (object != null) ? object.toString() : "{}");
		}
		else if (query.containsKey("watch")) {
			send(out, 200,
					watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait-ms"))).toString());
		}
		else {
			send(out, 200, list(path[0]).toString());
		}
	}

	private synchronized JsonObject list(String kind) {
		JsonArray items = new JsonArray();
		this.kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(items::add);
		JsonObject list = new JsonObject();
		list.add("items", items);
		list.addProperty("more", false);
		list.addProperty("current-rev", this.revision);
		return list;
	}

	private synchronized JsonObject watch(String kind, long after, long waitMillis) {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		JsonArray events = changes(kind, after);
		while (events.isEmpty() && System.nanoTime() < end) {
			try {
				wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
			events = changes(kind, after);
		}
		JsonObject result = new JsonObject();
		result.add("events", events);
		result.addProperty("current-rev", this.revision);
		return result;
	}

	private JsonArray changes(String kind, long after) {
		JsonArray events = new JsonArray();
		for (Change change : this.history) {
			if (change.revision() > after && change.kind().equals(kind)) {
				JsonObject event = new JsonObject();
				event.addProperty("deleted", change.deleted());
				event.add("object", change.object());
				events.add(event);
			}
		}
		return events;
	}

	private static void send(OutputStream out, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		byte[] head = Http.bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
				+ bytes.length + "\r\n\r\n");
		byte[] all = new byte[head.length + bytes.length];
		System.arraycopy(head, 0, all, 0, head.length);
		System.arraycopy(bytes, 0, all, head.length, bytes.length);
		out.write(all);
		out.flush();
	}

}
