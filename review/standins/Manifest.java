/** The manifest of the cases: the routes of a small deployment, with the limits of its sheet. */
final class Manifest {

	static final String HOST = "ficu95.example";

	static final String KEY = "xd9dnn2ctnfzs989anu6";

	private Manifest() {
	}

	static String text(int version, long timeoutMillis) {
		return text(version, timeoutMillis, "");
	}

	/** The same manifest with one route more. */
	static String withAddedRoute(int version, long timeoutMillis) {
		return text(version, timeoutMillis, ",{'name':'r-intake','host':'" + HOST
				+ "','path-prefix':'/intake/','kind':'non_idempotent','timeout-ms':" + timeoutMillis
				+ ",'target-latency-ms':" + (timeoutMillis / 8) + ",'priority':2,'service':'records',"
				+ "'max-attempts':1,'allow-anonymous':false,'sticky':false,'resumable':false}");
	}

	private static String text(int version, long timeoutMillis, String addedRoutes) {
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
				+ "'tenants':[{'name':'huka270','api-keys':['" + KEY + "'],'priority':1}]}")
			.replace('\'', '"');
	}

}
