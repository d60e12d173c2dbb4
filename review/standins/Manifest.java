/** The manifest of the cases: the routes of a small deployment, with the limits of its sheet. */
final class Manifest {

	static final String HOST = "ficu95.example";

	static final String KEY = "xd9dnn2ctnfzs989anu6";

	static final String SECOND_KEY = "wsjnbanfqasnmgkcuyj8";

	static final String THIRD_KEY = "b7mpc0h2ytw4qkzs8e1r";

	static final String TENANT = "huka270";

	static final String SECOND_TENANT = "lomi118";

	private static final String STREAMING = "'kind':'streaming','timeout-ms':39000,'target-latency-ms':1800,"
			+ "'priority':1,'service':'model','max-attempts':1,'allow-anonymous':false,'sticky':true,"
			+ "'resumable':false,'target-gap-ms':180}";

	private Manifest() {
	}

	static String text(int version, long timeoutMillis) {
		return text(version, timeoutMillis, "", "'" + KEY + "'");
	}

	/** The same manifest with one route more. */
	static String withAddedRoute(int version, long timeoutMillis) {
		return text(version, timeoutMillis, ",{'name':'r-intake','host':'" + HOST
				+ "','path-prefix':'/intake/','kind':'non_idempotent','timeout-ms':" + timeoutMillis
				+ ",'target-latency-ms':" + (timeoutMillis / 8) + ",'priority':2,'service':'records',"
				+ "'max-attempts':1,'allow-anonymous':false,'sticky':false,'resumable':false}", "'" + KEY + "'");
	}

	/** A manifest with two streaming routes, of which the second one may be missing. */
	static String withStreams(int version, boolean second) {
		String first = ",{'name':'r-plan','host':'" + HOST + "','path-prefix':'/plan/'," + STREAMING;
		String added = ",{'name':'r-draft','host':'" + HOST + "','path-prefix':'/draft/'," + STREAMING;
		return text(version, 39_000, first + (second ? added : ""), "'" + KEY + "'")
			.replace("],\"limits\"", ",{\"name\":\"model\",\"health-path\":\"/health\",\"max-connections\":232,"
					+ "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],\"limits\"");
	}

	/** A manifest with a second tenant, to which the second key of the first one may have been given. */
	static String withSecondTenant(int version, long timeoutMillis, boolean secondKeyMoved) {
		String keys = "'" + KEY + "'" + (secondKeyMoved ? "" : ",'" + SECOND_KEY + "'");
		return text(version, timeoutMillis, "", keys).replace("}]}", "},{\"name\":\"" + SECOND_TENANT
				+ "\",\"api-keys\":[\"" + THIRD_KEY + "\"" + (secondKeyMoved ? ",\"" + SECOND_KEY + "\"" : "")
				+ "],\"priority\":1}]}");
	}

	private static String text(int version, long timeoutMillis, String addedRoutes, String keys) {
		return ("{'version':" + version + ",'routes':["
				+ "{'name':'r-look','host':'" + HOST + "','path-prefix':'/look/','kind':'idempotent','timeout-ms':"
				+ timeoutMillis + ",'target-latency-ms':" + (timeoutMillis / 8)
				+ ",'priority':2,'service':'records','max-attempts':1,"
				+ "'allow-anonymous':false,'sticky':false,'resumable':false},"
				+ "{'name':'r-book','host':'" + HOST + "','path-prefix':'/book/','kind':'non_idempotent',"
				+ "'timeout-ms':" + timeoutMillis + ",'target-latency-ms':" + (timeoutMillis / 8)
				+ ",'priority':2,'service':'records',"
				+ "'max-attempts':1,'allow-anonymous':false,'sticky':false,'resumable':false}" + addedRoutes + "],"
				+ "'services':[{'name':'records','health-path':'/health','max-connections':96,'protocol':'h1',"
				+ "'tls':false,'cold-start-s':0.0,'cold-per-s':0.0}],"
				+ "'limits':{'max-header-bytes':16384,'max-body-bytes':4194304,'header-timeout-ms':3000,"
				+ "'idle-timeout-ms':15000},"
				+ "'tenants':[{'name':'" + TENANT + "','api-keys':[" + keys + "],'priority':1}]}")
			.replace('\'', '"');
	}

}
