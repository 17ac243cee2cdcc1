package review;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Renders the template of the settings as the users' deploy page describes: values and sections. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)}}");

    private Template() { }

    static String render(String template, Map<String, Object> fields) {
        StringBuilder sections = new StringBuilder();
        Matcher section = SECTION.matcher(template);
        while (section.find()) {
            section.appendReplacement(sections, Matcher.quoteReplacement(renderSection(section, fields)));
        }
        section.appendTail(sections);
        return values(sections.toString(), fields, null);
    }

    private static String renderSection(Matcher section, Map<String, Object> fields) {
        Object value = find(section.group(1), fields);
        if (value == null || value.equals(false)) return "";
        if (!(value instanceof List<?>)) return values(section.group(2), fields, null);
        StringBuilder all = new StringBuilder();
        for (Object entry : (List<?>) value) all.append(values(section.group(2), fields, entry));
        return all.toString();
    }

    private static String values(String text, Map<String, Object> fields, Object entry) {
        StringBuilder all = new StringBuilder();
        Matcher value = VALUE.matcher(text);
        while (value.find()) {
            Object found = value.group(1).equals(".") ? entry : find(value.group(1), fields);
            value.appendReplacement(all, Matcher.quoteReplacement(found == null ? "" : found.toString()));
        }
        value.appendTail(all);
        return all.toString();
    }

    private static Object find(String path, Object from) {
        Object at = from;
        for (String name : path.split("\\.")) {
            if (at instanceof Map<?, ?>) {
                at = ((Map<?, ?>) at).get(name);
            } else if (at instanceof List<?>) {
                at = ((List<?>) at).get(Integer.parseInt(name));
            } else {
                return null;
            }
        }
        return at;
    }
}
