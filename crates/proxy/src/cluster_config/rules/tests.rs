use super::*;

fn rule(text: &str) -> (Criteria, String) {
    let mut criteria = Criteria::default();
    for word in text.split_whitespace() {
        match word.split_once('=') {
            Some(("a", v)) => criteria.authority = Some(v.into()),
            Some(("p", v)) => criteria.path = Some(v.into()),
            Some(("m", v)) => criteria.method = Some(v.into()),
            Some(("c", v)) => criteria.class = v.parse().ok().map(ClassId),
            _ => panic!("{word}"),
        }
    }
    (criteria, text.to_owned())
}

fn traits(text: &str) -> RequestAttributes<'_> {
    let [authority, path, method, class] = text.split(' ').collect::<Vec<_>>()[..] else { panic!("{text}") };
    RequestAttributes { authority, path, method, class: ClassId(class.parse().expect("a number")) }
}

#[test]
fn each_criterion_matches_its_values_and_no_similar_ones() {
    for (criterion, matching, others) in [
        ("p=/api", "/api /api/ /api/x /api//", "/ap /apis /v/api /API /%61pi"),
        ("p=", "/ /x /x/y", ""),
        ("a=shop", "shop SHOP shop:80 shop. shop.:80", "shop2 a.shop ashop [::1]:80"),
        ("a=*.shop", "a.shop b.A.Shop:1 a.shop.", "shop .shop x a.shop2 éshop"),
        ("a=[::1]", "[::1] [::1]:80", "[::2] ::1 [::1].a"),
    ] {
        let (criteria, _) = rule(criterion);
        let matches = |value: &str| match criterion.starts_with('p') {
            true => criteria.matches(&RequestAttributes { path: value, ..traits("h / GET 0") }),
            false => criteria.matches(&RequestAttributes { authority: value, ..traits("h / GET 0") }),
        };
        matching.split_whitespace().for_each(|value| assert!(matches(value), "{criterion} {value}"));
        others.split_whitespace().for_each(|value| assert!(!matches(value), "{criterion} {value}"));
    }
    let (criteria, _) = rule("m=GET c=1");
    assert!(criteria.matches(&traits("h / GET 1")));
    assert!(!criteria.matches(&traits("h / get 1")) && !criteria.matches(&traits("h / GET 0")));
}

#[test]
fn the_most_specific_rule_applies_for_any_order_of_rules() {
    let texts = [
        "c=1",
        "m=GET",
        "p=/a",
        "p=/a m=GET",
        "p=/a/b c=1",
        "p=/a/b m=POST",
        "a=*.t",
        "a=*.s.t",
        "a=x.s.t p=/z",
    ];
    let mut rules: Vec<_> = texts.iter().map(|text| rule(text)).collect();
    for _ in 0..rules.len() {
        rules.rotate_left(1);
        let table = Rules::new(rules.clone());
        for (request, expected) in [
            ("h / GET 1", "m=GET"),
            ("h / PUT 1", "c=1"),
            ("h / PUT 0", ""),
            ("h /a PUT 1", "p=/a"),
            ("h /a GET 0", "p=/a m=GET"),
            ("h /a/b/c GET 0", "p=/a m=GET"),
            ("h /a/b/c GET 1", "p=/a/b c=1"),
            ("h /a/b POST 1", "p=/a/b m=POST"),
            ("x.t /a GET 1", "a=*.t"),
            ("y.s.t /a GET 1", "a=*.s.t"),
            ("x.s.t /a GET 1", "a=*.s.t"),
            ("x.s.t /z/y GET 1", "a=x.s.t p=/z"),
        ] {
            let found = table.find(&traits(request)).map_or("", String::as_str);
            assert_eq!(found, expected, "{request}");
        }
    }
}
