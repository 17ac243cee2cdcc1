package review;

/** Configurations of the operator. */
final class Configurations {
    static final String HOST = "shop.example";
    static final String BOOK = "/book/";
    static final String LOOK = "/look/";
    static final String PLAIN_SERVICE = "ledger";

    private Configurations() { }

    /** Returns a configuration with one unsafe and one safe route, with the figures of the sheet. */
    static String plain(int version) {
        return """
            {"version":%d,"routes":[%s,%s],"services":[{"name":"ledger","health_path":"/health",\
            "max_connections":100,"protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}\
            """.formatted(version, route("book", BOOK, "unsafe", 1), route("look", LOOK, "safe", 2));
    }

    private static String route(String name, String prefix, String kind, int attempts) {
        return """
            {"name":"r-%s","host":"%s","path_prefix":"%s","kind":"%s","timeout_ms":600,"target_latency_ms":121,\
            "priority":2,"service":"ledger","max_attempts":%d,"sticky":false,"resumable":false}""".formatted(
                name, HOST, prefix, kind, attempts);
    }
}
