use super::{take_line, LineRead, MAX_LINE_BYTES};

#[test]
fn complete_lines_are_taken_in_order_and_the_rest_stays() {
    let mut input = b"one\r\ntwo\nthr".to_vec();
    assert!(matches!(take_line(&mut input), LineRead::Complete(line) if line == b"one\r\n"));
    assert!(matches!(take_line(&mut input), LineRead::Complete(line) if line == b"two\n"));
    assert!(matches!(take_line(&mut input), LineRead::Incomplete));
    assert_eq!(input, b"thr");
}

#[test]
fn the_maximum_length_of_a_line_includes_its_end() {
    let mut longest = vec![b'x'; MAX_LINE_BYTES - 1];
    assert!(matches!(take_line(&mut longest), LineRead::Incomplete));
    longest.push(b'\n');
    assert!(matches!(take_line(&mut longest), LineRead::Complete(line) if line.len() == MAX_LINE_BYTES));
    let mut without_end = vec![b'x'; MAX_LINE_BYTES];
    assert!(matches!(take_line(&mut without_end), LineRead::TooLong));
    let mut with_end = [vec![b'x'; MAX_LINE_BYTES], b"\n".to_vec()].concat();
    assert!(matches!(take_line(&mut with_end), LineRead::TooLong));
}
